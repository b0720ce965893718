"""Log and count the errors that a process survives."""

import logbook

from burdockwall.process.clock import read_clock
from burdockwall.process.ending import describe_cause, find_place, list_causes

# An error that comes again from the same place is counted, and logged this often.
LOG_INTERVAL_S = 1.0
MAX_PLACES = 256


class Failures:
    """The errors of one process that cost only what raised them."""

    def __init__(self) -> None:
        self.count = 0
        self._logger = logbook.Logger("instance")
        self._logged_at: dict[tuple[str, str], float] = {}

    def record(self, message: str, error: BaseException, **fields: object) -> None:
        """Count an error, and log each of its causes with its place in the code."""
        self.count += 1
        for cause in list_causes(error):
            if self._is_due(message, find_place(cause)):
                extra = describe_cause(cause) | fields
                self._logger.error(message, extra=extra)

    def _is_due(self, message: str, place: str) -> bool:
        now = read_clock()
        logged_at = self._logged_at.get((message, place), float("-inf"))
        if now < logged_at + LOG_INTERVAL_S:
            return False
        if len(self._logged_at) >= MAX_PLACES:
            self._logged_at.clear()
        self._logged_at[message, place] = now
        return True
