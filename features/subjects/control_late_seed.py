"""A site on loopback sockets whose third control instance starts late."""

from features.subjects.platform import READY_LIMIT_S, PlatformSite

LATE = 3


class LateSeedSite(PlatformSite):
    """A site of which one of the three seeds has not been started yet."""

    def __init__(self) -> None:
        super().__init__()
        self.complete = False

    def _start_control_node(self, number: int) -> None:
        if self.complete or number != LATE:
            super()._start_control_node(number)

    def start(self) -> None:
        self._thread.start()
        assert self._started.wait(READY_LIMIT_S), self.failure

    def has_leader(self) -> bool:
        return any(
            node.control.replica.consensus.is_leader for node in self.control_nodes
        )

    def start_late(self) -> None:
        self.complete = True
        self.call_in_loop(self._start_control_node, LATE)
        assert self.wait_for(self._is_ready, READY_LIMIT_S)
