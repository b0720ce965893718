"""Outlier ejection: failing and slow endpoints get no calls until probes succeed.

At most `ejected_share` of a pool is ejected at a time.
"""

from enum import Enum

import msgspec

from burdockwall.process.scheduling.jobs import Outcome, Result
from burdockwall.process.scheduling.policy import Policy
from burdockwall.types import EndpointId

# Weights of a new sample in the moving averages of an endpoint and of the pool.
ENDPOINT_GAIN = 0.2
POOL_GAIN = 0.02
# A sample counts as at most this multiple of the pool's average.
CLIP_RATIO = 10.0


class Health(Enum):
    """Whether an endpoint takes all calls, none, or only a few probes."""

    HEALTHY = "in"
    EJECTED = "ejected"
    PROBING = "probing"


class EndpointHealth(msgspec.Struct):
    """Health statistics of one endpoint.

    `unit_latency_s` is the moving average of a call's latency per output token, or of
    the whole latency of a call without output tokens.
    """

    health: Health = Health.HEALTHY
    failures: int = 0
    samples: int = 0
    unit_latency_s: float = 0.0
    sampled_at: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    probes: int = 0


class Ejector:
    """Ejects and readmits the endpoints of one pool."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.records: dict[EndpointId, EndpointHealth] = {}
        self.pool_unit_latency_s = 0.0
        self.ejected_count = 0

    def install(self, endpoints: list[EndpointId]) -> None:
        """Replace the list of endpoints; those that stay keep their statistics."""
        former = self.records
        self.records = {
            name: former.get(name) or EndpointHealth() for name in endpoints
        }
        self.ejected_count = sum(
            record.health is not Health.HEALTHY for record in self.records.values()
        )

    def admits(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether a call may go to an endpoint.

        An endpoint whose ejection has ended starts to take probes.
        """
        record = self.records.get(endpoint)
        if record is None:
            return False
        match record.health:
            case Health.HEALTHY:
                return True
            case Health.EJECTED if now >= record.ejected_until:
                record.health = Health.PROBING
                record.probes = 0
                return True
            case Health.PROBING:
                return record.probes < self.policy.probe_calls
        return False

    def record_start(self, endpoint: EndpointId) -> None:
        """Count a started call as a probe if the endpoint is being probed."""
        record = self.records.get(endpoint)
        if record is not None and record.health is Health.PROBING:
            record.probes += 1

    def compute_slowness(self, endpoint: EndpointId, now: float) -> float:
        """Return the endpoint's unit latency relative to the pool's, at least 1.

        Old samples are ignored, since otherwise an endpoint that was slow once would
        never be tried again.
        """
        record = self.records.get(endpoint)
        if record is None or not record.samples or not self.pool_unit_latency_s:
            return 1.0
        if self._is_stale(record, now):
            return 1.0
        return max(1.0, record.unit_latency_s / self.pool_unit_latency_s)

    def _is_stale(self, record: EndpointHealth, now: float) -> bool:
        return now - record.sampled_at > self.policy.eject_limit_s

    def record_outcome(
        self, endpoint: EndpointId, outcome: Outcome, now: float
    ) -> None:
        """Record the outcome of a call."""
        record = self.records.get(endpoint)
        if record is None:
            return
        if outcome.result is Result.CANCELLED:
            record.probes = max(0, record.probes - 1)
            return
        if outcome.result is Result.FAILED:
            self._record_failure(endpoint, record, now)
            return
        record.failures = 0
        if self._is_stale(record, now):
            record.samples = 0
        record.sampled_at = now
        self._update_latency(record, outcome)
        if record.health is Health.PROBING:
            self._finish_probe(record, outcome, now)
        elif record.health is Health.HEALTHY and self._is_slow(record):
            self._eject(record, now)

    def forget_failures(self) -> None:
        """Eject no endpoint any more, since this instance itself was cut off."""
        self.records = {name: EndpointHealth() for name in self.records}
        self.ejected_count = 0

    def _record_failure(
        self, endpoint: EndpointId, record: EndpointHealth, now: float
    ) -> None:
        record.failures += 1
        if record.health is Health.PROBING:
            self._set_ejected(record, now)
        elif record.failures >= self.policy.failures_to_eject:
            self._eject(record, now)

    def _update_latency(self, record: EndpointHealth, outcome: Outcome) -> None:
        latency_s = outcome.latency_s / max(1, outcome.output_tokens)
        if not self.pool_unit_latency_s:
            self.pool_unit_latency_s = latency_s
        clipped_s = min(latency_s, CLIP_RATIO * self.pool_unit_latency_s)
        if record.health is Health.HEALTHY:
            # The sample is clipped, so that one slow endpoint does not raise the pool's
            # average.
            sample = min(latency_s, self.policy.slow_ratio * self.pool_unit_latency_s)
            self.pool_unit_latency_s += (sample - self.pool_unit_latency_s) * POOL_GAIN
        record.samples += 1
        gain = max(ENDPOINT_GAIN, 1.0 / record.samples)
        record.unit_latency_s += (clipped_s - record.unit_latency_s) * gain

    def _is_slow(self, record: EndpointHealth) -> bool:
        limit = self.policy.slow_ratio * self.pool_unit_latency_s
        return (
            record.samples >= self.policy.slow_samples and record.unit_latency_s > limit
        )

    def _finish_probe(
        self, record: EndpointHealth, outcome: Outcome, now: float
    ) -> None:
        latency_s = outcome.latency_s / max(1, outcome.output_tokens)
        if latency_s > self.policy.slow_ratio * self.pool_unit_latency_s:
            self._set_ejected(record, now)
            return
        record.health = Health.HEALTHY
        record.samples = 0
        record.unit_latency_s = 0.0
        record.probes = 0
        self.ejected_count -= 1

    def _eject(self, record: EndpointHealth, now: float) -> None:
        if record.health is not Health.HEALTHY:
            return
        if self.ejected_count + 1 > int(len(self.records) * self.policy.ejected_share):
            return
        self.ejected_count += 1
        self._set_ejected(record, now)

    def _set_ejected(self, record: EndpointHealth, now: float) -> None:
        record.health = Health.EJECTED
        ejection_s = self.policy.eject_s * 2 ** min(record.ejections, 16)
        record.ejected_until = now + min(ejection_s, self.policy.eject_limit_s)
        record.ejections += 1
        record.failures = 0
