"""Answer followers from the control state."""

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.control.state import ControlState
from burdockwall.process.membership.messages import (
    Follow,
    StateCurrent,
    StateSnapshot,
)


class Publisher:
    """Send each follower the version that it lacks."""

    def __init__(self, state: ControlState) -> None:
        self.state = state

    def handle(self, event: Tick | Receive, now: float) -> list[Send]:
        """Take an event and return the answers to followers."""
        match event:
            case Receive(sender=sender, message=Follow(version=version)):
                if version >= self.state.version:
                    return [Send(sender, StateCurrent(self.state.version))]
                return [Send(sender, self._take_snapshot())]
            case _:
                return []

    def _take_snapshot(self) -> StateSnapshot:
        return StateSnapshot(self.state.version, self.state.text, dict(self.state.keys))
