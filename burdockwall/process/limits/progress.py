"""What a holder reports of the programs of one customer to the owner of its rate.

Answers the load of a customer whose callers begin more programs than its rate carries:
the owner decides which may begin by what the programs under way have requested. A new
owner is told of the recent ones, so that it doesn't admit as many again.
"""

import msgspec

from burdockwall.process.limits.kinds import NO_PROGRAM, ProgramMark
from burdockwall.process.limits.messages import LimitProgress
from burdockwall.types import CustomerId

MS_PER_S = 1000
# A program without a request for this long is forgotten.
RETENTION_S = 20.0
# A holder forgets the program that was seen least recently above this number.
PROGRAMS_LIMIT = 256
# Requests are reported after this time at most.
REPORT_INTERVAL_S = 0.3


class _Requests(msgspec.Struct):
    """The admitted requests of one program, and those not reported yet."""

    seen_at: float
    reported: int = 0
    unreported: int = 0
    waited_s: float = 0.0
    is_resent: bool = False


class ProgressReports(msgspec.Struct):
    """Counts the admitted requests of programs until they are reported."""

    unreported_since: float | None = None
    _programs: dict[ProgramMark, _Requests] = msgspec.field(default_factory=dict)

    def record(self, program: ProgramMark, waited_s: float, now: float) -> None:
        """Count an admitted request; those without a program matter beside others."""
        if program == NO_PROGRAM and not self._programs:
            return
        requests = self._programs.pop(program, None) or _Requests(now)
        self._programs[program] = requests
        requests.seen_at = now
        requests.unreported += 1
        requests.waited_s += waited_s
        if self.unreported_since is None:
            self.unreported_since = now
        while len(self._programs) > PROGRAMS_LIMIT:
            del self._programs[next(iter(self._programs))]

    def is_due(self, now: float) -> bool:
        """Return whether a report should be sent even without a demand."""
        since = self.unreported_since
        return since is not None and now - since >= REPORT_INTERVAL_S

    def take(self, customer: CustomerId, now: float) -> list[LimitProgress]:
        """Return the report of all that was not reported yet."""
        if self.unreported_since is None:
            return []
        self.unreported_since = None
        progress = []
        for program, requests in list(self._programs.items()):
            if now - requests.seen_at > RETENTION_S:
                del self._programs[program]
            elif requests.unreported or requests.is_resent:
                progress.append(_take_requests(customer, program, requests))
        return progress

    def resend(self, now: float) -> None:
        """Report the recent programs to a new owner, too."""
        for program, requests in self._programs.items():
            requests.is_resent = program != NO_PROGRAM and requests.reported > 0
        if self._programs:
            self.unreported_since = now - REPORT_INTERVAL_S


def _take_requests(
    customer: CustomerId, program: ProgramMark, requests: _Requests
) -> LimitProgress:
    earlier = requests.reported if requests.is_resent else 0
    progress = LimitProgress(
        customer,
        program,
        requests.unreported,
        round(requests.waited_s * MS_PER_S),
        earlier,
    )
    requests.reported += requests.unreported
    requests.unreported, requests.waited_s, requests.is_resent = 0, 0.0, False
    return progress
