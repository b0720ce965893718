"""What a customer's programs under way will still request, and which may begin.

Answers the load of a customer whose callers begin more programs than its rate carries:
without it all of them begin, and each loses a request before its end. The requests of a
program and the time between two of them are learned from programs that have ended, with
decay. Large customers are represented by a sample of their programs, chosen by mark, so
that memory is bounded.
"""

import msgspec

from burdockwall.process.limits.kinds import NO_PROGRAM, ProgramMark

# What is assumed of programs before any has ended, and the number of programs or gaps
# that this assumption counts for.
PRIOR_REQUESTS = 8.0
PRIOR_GAP_S = 1.0
PRIOR_WEIGHT = 3.0
# Weight that a learned sample keeps when another one arrives.
REQUESTS_DECAY = 0.98
GAP_DECAY = 0.995
# A program counts as ended after this many gaps without a request, within the bounds,
# and this many usual waits for the rate.
SILENT_GAPS = 5.0
SILENT_WAITS = 3.0
SILENCE_MIN_S, SILENCE_MAX_S = 2.0, 30.0
# A program that has made more requests than usual is expected to make this share of the
# usual number again.
REMAINING_SHARE_MIN = 0.25
# Share of the rate that requests without a program can't take from programs.
PROGRAMS_SHARE_MIN = 0.125
ALONE_PERIOD_S = 5.0
# Bounds of the time for which demand and rate are compared.
HORIZON_MIN_S, HORIZON_MAX_S = 1.0, 20.0
# Refused programs are told to come back at most this much later.
RETRY_MIN_S, RETRY_MAX_S = 0.2, 10.0
EXPIRE_INTERVAL_S = 0.5


class Mean(msgspec.Struct):
    """A mean of samples that forgets old ones; it starts with an assumed value."""

    value: float
    decay: float
    weight: float = PRIOR_WEIGHT

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.weight = self.weight * self.decay + 1.0
        self.value += (sample - self.value) / self.weight


class TrackedProgram(msgspec.Struct):
    """A program under way, with the number of its admitted requests.

    `from_start` is whether this owner admitted its first one.
    """

    requests: int
    seen_at: float
    from_start: bool


class Supply(msgspec.Struct, frozen=True):
    """What a customer's rate can give: `level` requests at once, and `rate_per_s`.

    `wait_s` is how long a request of a program under way may wait.
    """

    level: float
    rate_per_s: float
    wait_s: float


class ProgramLoad(msgspec.Struct):
    """The programs under way of one customer, at the owner of its rate."""

    capacity: int
    requests: Mean = msgspec.field(
        default_factory=lambda: Mean(PRIOR_REQUESTS, REQUESTS_DECAY)
    )
    gap_s: Mean = msgspec.field(default_factory=lambda: Mean(PRIOR_GAP_S, GAP_DECAY))
    waited_s: Mean = msgspec.field(default_factory=lambda: Mean(0.0, GAP_DECAY))
    programs: dict[ProgramMark, TrackedProgram] = msgspec.field(default_factory=dict)
    refused_count: int = 0
    _sample_bits: int = 0
    _expire_at: float = 0.0
    _alone: float = 0.0
    _alone_at: float = 0.0
    _retry_at: float = float("-inf")

    def record(
        self,
        mark: ProgramMark,
        requests: int,
        waited_s: float,
        now: float,
        earlier: int = 0,
    ) -> None:
        """Record admitted requests of a program, or of none, with their waits.

        `earlier` requests were reported to a former owner.
        """
        if mark == NO_PROGRAM:
            self._alone = self._count_alone(now) + requests
            self._alone_at = now
            return
        self._expire(now)
        program = self.programs.get(mark)
        if program is None:
            self._track(mark, TrackedProgram(requests + earlier, now, False))
            return
        if earlier:
            program.requests += earlier
        elif program.requests and requests:
            # The wait for the rate is no part of a program's own pace.
            gap_s = (now - program.seen_at - waited_s) / requests
            self.gap_s.add(min(SILENCE_MAX_S, max(0.0, gap_s)))
            self.waited_s.add(waited_s / requests)
        program.requests += requests
        program.seen_at = now

    def admit_start(
        self, mark: ProgramMark, supply: Supply, now: float
    ) -> float | None:
        """Return None if a program may begin, or else when it should come again.

        A program that was admitted before and begins again is admitted.
        """
        self._expire(now)
        if mark in self.programs:
            return None
        missing = self._count_missing(supply, now)
        if self.programs and missing > 0.0:
            self.refused_count += 1
            return self._choose_retry(supply, missing, now)
        self._track(mark, TrackedProgram(0, now, True))
        return None

    def count_programs(self) -> int:
        """Estimate the number of programs under way."""
        return len(self.programs) << self._sample_bits

    # Demand.

    def _count_missing(self, supply: Supply, now: float) -> float:
        """Return how many requests too many another program would be, if above 0.

        What the programs will request within the horizon is compared with what the rate
        gives until then and within the time that their requests may wait.
        """
        horizon_s = self._get_horizon_s()
        available = supply.level + self._get_rate(supply, now) * (
            horizon_s + supply.wait_s
        )
        return self._count_demand(horizon_s) - available

    def _count_demand(self, horizon_s: float) -> float:
        """Count the requests within the horizon, with those of one more program."""
        most = horizon_s / self._get_gap_s()
        usual = self.requests.value
        least = usual * REMAINING_SHARE_MIN
        tracked = sum(
            min(most, max(least, usual - program.requests))
            for program in self.programs.values()
        )
        return tracked * (1 << self._sample_bits) + min(most, usual)

    def _get_rate(self, supply: Supply, now: float) -> float:
        alone_per_s = self._count_alone(now) / ALONE_PERIOD_S
        least = supply.rate_per_s * PROGRAMS_SHARE_MIN
        return max(least, supply.rate_per_s - alone_per_s)

    def _get_gap_s(self) -> float:
        return max(0.01, self.gap_s.value)

    def _get_horizon_s(self) -> float:
        """Return the usual time that a program under way still takes."""
        usual_s = self.requests.value * self._get_gap_s() / 2
        return min(HORIZON_MAX_S, max(HORIZON_MIN_S, usual_s))

    def _count_alone(self, now: float) -> float:
        passed = min(ALONE_PERIOD_S, now - self._alone_at)
        return self._alone * (1.0 - passed / ALONE_PERIOD_S)

    def _choose_retry(self, supply: Supply, missing: float, now: float) -> float:
        """Return a time of its own for each refused program, at the rate's pace."""
        rate = max(self._get_rate(supply, now), 0.001)
        first_s = min(RETRY_MAX_S / 2, RETRY_MIN_S + missing / rate)
        retry_at = max(now + first_s, self._retry_at + self.requests.value / rate)
        if retry_at > now + RETRY_MAX_S:
            # The line is longer than callers wait, so the times start anew.
            retry_at = now + first_s
        self._retry_at = retry_at
        return retry_at - now

    # Programs.

    def _track(self, mark: ProgramMark, program: TrackedProgram) -> None:
        if mark & ((1 << self._sample_bits) - 1):
            return
        self.programs[mark] = program
        while len(self.programs) > self.capacity:
            self._sample_bits += 1
            mask = (1 << self._sample_bits) - 1
            self.programs = {
                mark: program
                for mark, program in self.programs.items()
                if not mark & mask
            }

    def _expire(self, now: float) -> None:
        """Drop the programs that have ended, and learn from them."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_INTERVAL_S
        silence_s = SILENT_GAPS * self._get_gap_s()
        silence_s = min(SILENCE_MAX_S, max(SILENCE_MIN_S, silence_s))
        # A program whose request waits for the rate has not ended.
        silence_s += SILENT_WAITS * self.waited_s.value
        for mark, program in list(self.programs.items()):
            if now - program.seen_at > silence_s:
                del self.programs[mark]
                if program.requests and program.from_start:
                    self.requests.add(program.requests)
        # Half of the capacity is left free, so that the sample does not flutter.
        if self._sample_bits and len(self.programs) < self.capacity // 4:
            self._sample_bits -= 1
