"""The limiter and ideal buckets on virtual time, with the same requests."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from burdockwall.connection.wire import Acknowledgement, Envelope
from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.machine import Send
from burdockwall.process.limits.events import (
    Admit,
    Admitted,
    Limit,
    LimitsInstalled,
    Refused,
)
from burdockwall.process.limits.holder import LimitHolder
from burdockwall.process.limits.messages import LimitDemand, LimitGrants, LimitRecall
from burdockwall.process.limits.owner import LimitOwner
from burdockwall.process.limits.units import UNITS_PER_REQUEST, create_parameters
from burdockwall.settings import Settings
from burdockwall.types import (
    CallId,
    CustomerId,
    FencingNumber,
    Incarnation,
    InstanceId,
    ShardId,
)
from burdockwall.version.shards import (
    SHARD_COUNT,
    LeaseRenewed,
    ShardMap,
    ShardsInstalled,
    ShardView,
)

# gRPC puts 5 bytes before a message and HTTP/2 9 before a frame.
FRAME_BYTES = 14
_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of one request: its time in seconds, instance and customer."""

    arrives_at: float
    instance: int
    customer: CustomerId


@dataclass(slots=True)
class IdealBucket:
    """A token bucket that all instances share without delay; it starts full."""

    limit: Limit
    level: float
    refilled_at: float = 0.0
    lowest_level: float = 0.0

    def refill(self, now: float) -> None:
        """Add the units of the time since the last refill, up to the burst."""
        refilled = self.level + (now - self.refilled_at) * self.limit.rate_per_s
        self.level = min(self.limit.burst, refilled)
        self.refilled_at = now

    def take_if_allowed(self, now: float) -> bool:
        """Take the units of one request if the level allows it."""
        self.refill(now)
        if self.level < UNITS_PER_REQUEST:
            return False
        self.level -= UNITS_PER_REQUEST
        return True

    def take_always(self, now: float) -> None:
        """Take the units of one request at any level, and record the lowest level."""
        self.refill(now)
        self.level -= UNITS_PER_REQUEST
        self.lowest_level = min(self.lowest_level, self.level)


def create_ideal_buckets(
    limits: dict[CustomerId, Limit], share: int = 1
) -> dict[Any, IdealBucket]:
    """Create a full bucket per customer, with 1/`share` of its limit."""
    return {
        name: IdealBucket(
            Limit(limit.rate_per_s / share, limit.burst // share), limit.burst // share
        )
        for name, limit in limits.items()
    }


class CountingNetwork(FakeNetwork):
    """A network that counts messages and bytes between instances.

    The bytes include the acknowledgements.
    """

    sent_bytes = 0
    remote_messages = 0

    def send(self, sender: InstanceId, action: Send) -> None:
        """Count a message that leaves its instance, and send it."""
        if action.to != sender:
            self.remote_messages += 1
            message: Any = action.message
            envelope = Envelope(
                sender, Incarnation(1_700_000_000_000_000_000), 1000, []
            )
            size = len(_encoder.encode(envelope)) + len(_encoder.encode(message))
            reply = len(_encoder.encode(Acknowledgement(1000)))
            self.sent_bytes += size + reply + 2 * FRAME_BYTES
        super().send(sender, action)


@dataclass(slots=True)
class RequestOutcomes:
    """Outcomes of the requests, by the numbers of the requests.

    `refused_within_rate` are the refused ones for which an ideal bucket had units.
    `waiting` counts the undecided requests of each customer.
    """

    admitted: set[int] = field(default_factory=set)
    refused: set[int] = field(default_factory=set)
    refused_within_rate: set[int] = field(default_factory=set)
    waiting: Counter[CustomerId] = field(default_factory=Counter)
    admission_waits_s: list[float] = field(default_factory=list)


class LimiterRun:
    """Owners and holders of limits on every instance, and requests that arrive there.

    `excess_buckets` are ideal buckets from which every admitted request is taken, so
    that a negative level shows admissions in excess of rate and burst.
    """

    def __init__(
        self,
        seed: int,
        instances: int,
        one_way_s: float,
        limits: dict[CustomerId, Limit],
        arrivals: list[Arrival],
    ) -> None:
        conditions = NetworkConditions(0.9 * one_way_s, 1.1 * one_way_s)
        self.network = CountingNetwork(seed, conditions, self._perform)
        self.names = [InstanceId(f"entry-{number}") for number in range(instances)]
        self.arrivals = arrivals
        self.excess_buckets = create_ideal_buckets(limits)
        self.outcomes = RequestOutcomes()
        self.holders: dict[InstanceId, LimitHolder] = {}
        views = {}
        for number in range(SHARD_COUNT):
            primary = self.names[number % instances]
            shard = ShardId(number)
            views[shard] = ShardView(shard, FencingNumber(1), primary)
        for name in self.names:
            self._start(name, limits, ShardMap(views))

    def _start(
        self, name: InstanceId, limits: dict[CustomerId, Limit], shards: ShardMap
    ) -> None:
        parameters = create_parameters(Settings())
        incarnation = Incarnation(1_700_000_000_000_000_000)
        holder = LimitHolder(name, incarnation, parameters)
        owner = LimitOwner(name, incarnation, parameters, parameters.start_wait_s)
        self.holders[name] = holder
        self.network.start(
            name, [(holder, (LimitGrants, LimitRecall)), (owner, (LimitDemand,))]
        )
        self.network.apply(name, owner, LimitsInstalled(limits))
        self.network.apply(name, owner, LeaseRenewed(float("inf")))
        self.network.apply(name, owner, ShardsInstalled(shards))
        self.network.apply(name, holder, ShardsInstalled(shards))

    def _perform(self, instance: InstanceId, action: Any, now: float) -> None:
        match action:
            case Admitted(call=call, customer=customer):
                self.outcomes.waiting[customer] -= 1
                self.excess_buckets[customer].take_always(now)
                self.outcomes.admitted.add(call)
                self.outcomes.admission_waits_s.append(
                    now - self.arrivals[call].arrives_at
                )
            case Refused(call=call, customer=customer):
                self.outcomes.waiting[customer] -= 1
                self.outcomes.refused.add(call)
                self._record_refusal_within_rate(call, customer, now)

    def _record_refusal_within_rate(
        self, call: int, customer: CustomerId, now: float
    ) -> None:
        # A refused request was within the rate if the ideal bucket has units for it
        # and for all requests of the customer that are still undecided.
        bucket = self.excess_buckets[customer]
        bucket.refill(now)
        required = (self.outcomes.waiting[customer] + 1) * UNITS_PER_REQUEST
        if bucket.level >= required:
            self.outcomes.refused_within_rate.add(call)

    def _submit_request(self, number: int) -> None:
        arrival = self.arrivals[number]
        name = self.names[arrival.instance]
        self.outcomes.waiting[arrival.customer] += 1
        admit = Admit(CallId(number), arrival.customer, UNITS_PER_REQUEST, 10.0)
        self.network.apply(name, self.holders[name], admit)

    def run(self, until: float) -> None:
        """Run all arrivals and the messages that follow, until a virtual time."""
        for number, arrival in enumerate(self.arrivals):
            self.network.schedule(
                arrival.arrives_at, partial(self._submit_request, number)
            )
        self.network.run_until(until)

    @property
    def excess(self) -> float:
        """Return the largest excess in any time window, in requests."""
        lowest = min(bucket.lowest_level for bucket in self.excess_buckets.values())
        return abs(lowest) / UNITS_PER_REQUEST


def draw_arrivals(
    generator: random.Random,
    instances: int,
    loads: dict[CustomerId, float],
    since: float,
    until: float,
    mean_calls: float = 4.0,
) -> list[Arrival]:
    """Draw programs that each send some calls to one instance, about 1 s apart.

    `loads` are calls a second per customer, and `mean_calls` is the mean number of
    calls of a program.
    """
    arrivals: list[Arrival] = []
    for customer, load in loads.items():
        program_at = since
        while True:
            program_at += generator.expovariate(load / mean_calls)
            if program_at >= until:
                break
            instance = generator.randrange(instances)
            call_at = program_at
            for _ in range(max(1, round(generator.expovariate(1 / mean_calls)))):
                arrivals.append(Arrival(call_at, instance, customer))
                call_at += generator.expovariate(1.0)
    return sorted(
        (item for item in arrivals if item.arrives_at < until),
        key=lambda item: (item.arrives_at, item.customer),
    )


def list_admitted(
    arrivals: list[Arrival], is_admitted: Callable[[Arrival], bool]
) -> set[int]:
    """Return the numbers of the arrivals that `is_admitted` admits."""
    return {number for number, item in enumerate(arrivals) if is_admitted(item)}
