"""Ask the control leader for a service's single version on behalf of a request."""

from burdockwall.process.host import Host
from burdockwall.process.sole_versions import SoleVersion
from burdockwall.process.version_checks import (
    AnswerSoleVersion,
    AskVersion,
    LeaderInstalled,
    VersionAnswered,
    VersionAsker,
    WithdrawVersion,
)
from burdockwall.process.waiters import Waiters
from burdockwall.types import Incarnation, InstanceId, ServiceName

# A caller is refused after this time, and comes back.
ANSWER_LIMIT_S = 0.8


class VersionClient:
    """The questions of this instance about the versions of services."""

    def __init__(self, host: Host, incarnation: Incarnation) -> None:
        self.host = host
        self._waiters: Waiters[SoleVersion | None] = Waiters()
        self._hosted = host.add(
            VersionAsker(incarnation), (AnswerSoleVersion,), self._perform
        )

    def install_leader(self, leader: InstanceId | None) -> None:
        """Ask this leader from now on."""
        self.host.apply(self._hosted, LeaderInstalled(leader))

    async def find(self, service: ServiceName) -> SoleVersion | None:
        """Return the version that a leader confirms now as the only one, or None."""
        call = self._waiters.create()
        try:
            self.host.apply(self._hosted, AskVersion(call, service))
            return await self._waiters.wait(call, ANSWER_LIMIT_S)
        except TimeoutError:
            return None
        finally:
            self.host.apply(self._hosted, WithdrawVersion(call))

    def _perform(self, action: VersionAnswered) -> None:
        self._waiters.complete(action.call, action.sole)
