"""Estimate each endpoint's load from this instance's calls and delayed reports."""

import math

import msgspec

from burdockwall.process.scheduling.policy import Policy, Window
from burdockwall.process.scheduling.reports import LoadReport

OTHERS_GAIN = 0.5


class LoadEstimate(msgspec.Struct):
    """The load of one endpoint, in calls.

    Calls of this instance are counted exactly; `others`, the calls of other instances,
    is a moving average of what the endpoint's reports add to them. `allowed` is the
    number of calls that this instance may run there.
    """

    policy: Policy
    running: int = 0
    queued: int = 0
    others: float = 0.0
    capacity: int = 0
    allowed: int = 0
    sequence: int = 0

    def __post_init__(self) -> None:
        self.capacity = self.policy.endpoint_calls
        self._allow_even_share()

    def _allow_even_share(self) -> None:
        self.allowed = max(1, self.capacity // max(1, self.policy.instances))

    def set_policy(self, policy: Policy) -> None:
        """Install a policy that differs in the number of instances."""
        self.policy = policy
        if policy.window is Window.SPLIT or not self.sequence:
            self._allow_even_share()

    def record_report(self, report: LoadReport) -> None:
        """Record a report; one that is late or received twice is ignored."""
        # An endpoint that restarts numbers its reports from 1 again.
        if 1 < report.sequence <= self.sequence:
            return
        self.sequence = report.sequence
        reported = report.capacity or self.policy.endpoint_calls
        self.capacity = min(reported, self.policy.endpoint_calls)
        total = report.running + report.waiting
        others = max(0, total - self.running)
        self.others += (others - self.others) * OTHERS_GAIN
        if self.policy.window is Window.SHARED:
            self.allowed = self._compute_allowed(total)

    def _compute_allowed(self, total: int) -> int:
        """Return the number of calls allowed, given all calls at the endpoint.

        If the endpoint has free places, this instance claims `claim_factor` even shares
        of them. If the endpoint has more calls than its capacity, this instance reduces
        its own calls by its proportional part of the excess.
        """
        free = self.capacity - max(total, self.running)
        if free >= 0:
            share = min(1.0, self.policy.claim_factor / max(1, self.policy.instances))
            return max(1, self.running + math.ceil(free * share))
        part = self.running / max(1, total)
        return max(1, int(self.running + free * part))

    def has_room(self) -> bool:
        """Return whether one more call may start."""
        if self.policy.window is Window.UNLIMITED:
            return True
        return self.running < self.allowed

    def count_calls(self) -> float:
        """Return the estimated number of calls at the endpoint or queued for it."""
        return self.running + self.queued + self.others
