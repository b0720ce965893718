"""Put each version of the control state in force, and again where that failed."""

from collections.abc import Callable

import anyio
import logbook

from burdockwall.process.failures import Failures
from burdockwall.process.membership.replica import StateReplica
from burdockwall.types import Version

RETRY_S = 0.1
PutInForce = Callable[[StateReplica], None]


class Installation:
    """The version that is in force here, beside the one that was delivered.

    An instance reports a version as soon as it is delivered, so that one which could
    not be put in force as a whole must not stay behind for good.
    """

    def __init__(self, put_in_force: PutInForce, failures: Failures) -> None:
        self.failures = failures
        self._put_in_force = put_in_force
        self._installed = Version(0)
        self._failed = False
        self._logger = logbook.Logger("instance")

    def is_behind(self, replica: StateReplica) -> bool:
        """Return whether a delivered version is not in force as a whole."""
        return self._failed or replica.version != self._installed

    def install(self, replica: StateReplica) -> None:
        """Put a delivered version in force; if that fails, it is tried again."""
        version = replica.version
        try:
            self._put_in_force(replica)
        except Exception as error:
            self._failed = True
            message = "version not put in force"
            self.failures.record(message, error, version=version)
            return
        if self._failed:
            self._logger.notice("version put in force", extra={"version": version})
        self._failed = False
        self._installed = version

    async def run(self, replica: StateReplica) -> None:
        """Try again, until cancelled, while a delivered version is not in force."""
        while True:
            await anyio.sleep(RETRY_S)
            if self.is_behind(replica):
                self.install(replica)
