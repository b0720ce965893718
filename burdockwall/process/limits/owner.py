"""The owner of customers' rates: it grants units to the holders.

Each customer has one bucket, at the primary of the customer's shard.
"""

import heapq

import msgspec

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.limits.bucket import (
    CustomerBucket,
    Need,
    PrefetchGrant,
    UnacknowledgedGrant,
)
from burdockwall.process.limits.events import Limit, LimitsInstalled, Reason
from burdockwall.process.limits.messages import (
    LimitClose,
    LimitDemand,
    LimitGrant,
    LimitGrants,
    LimitRecall,
    LimitVerdict,
    LimitWant,
    StartVerdict,
)
from burdockwall.process.limits.need_order import (
    choose_need,
    limit_others,
    reduce_in_flight,
)
from burdockwall.process.limits.start_admission import StartAdmission
from burdockwall.process.limits.units import (
    GRANT_LIMIT_S,
    MS_PER_S,
    UNITS_PER_REQUEST,
    LimitParameters,
)
from burdockwall.types import (
    CustomerId,
    FencingNumber,
    Incarnation,
    InstanceId,
    ShardId,
)
from burdockwall.version.shards import (
    LeaseRenewed,
    ShardMap,
    ShardsInstalled,
    find_customer_shard,
)

Event = Tick | Receive | ShardsInstalled | LeaseRenewed | LimitsInstalled
# Prefetch grants leave at least this share of the burst in the bucket.
PREFETCH_BURST_SHARE = 0.5
NO_LIMIT = Limit(0.0, 0)
# After this time no message of a holder's earlier incarnation can still arrive.
HOLDER_SILENCE_S = 2.0


class _OutstandingGrant(msgspec.Struct, frozen=True):
    customer: CustomerId
    bucket: CustomerBucket
    holder: InstanceId
    units: int


class _Holder(msgspec.Struct):
    incarnation: Incarnation
    sequence: int
    last_demand_at: float


class _Shard(msgspec.Struct):
    number: FencingNumber
    starts_at: float


class _Answer(msgspec.Struct):
    """The grants and refusals that answer one demand of a holder."""

    holder: InstanceId
    incarnation: Incarnation
    sequence: int
    grants: list[LimitGrant] = msgspec.field(default_factory=list)
    verdicts: list[LimitVerdict] = msgspec.field(default_factory=list)
    starts: list[StartVerdict] = msgspec.field(default_factory=list)


class LimitOwner:
    """Grants units from the buckets of the customers that this instance owns.

    It owns a customer while it is the primary of the customer's shard.
    """

    def __init__(
        self,
        instance: InstanceId,
        epoch: Incarnation,
        parameters: LimitParameters,
        start_wait_s: float,
    ) -> None:
        self.instance = instance
        self.epoch = epoch
        self.parameters = parameters
        self.start_wait_s = start_wait_s
        self.lease_until = float("-inf")
        self.buckets: dict[CustomerId, CustomerBucket] = {}
        self._limits: dict[CustomerId, Limit] = {}
        self._shards: dict[ShardId, _Shard] = {}
        self._holders: dict[InstanceId, _Holder] = {}
        self._outstanding: dict[int, _OutstandingGrant] = {}
        self._expiries: list[tuple[float, int]] = []
        self._unmet: dict[CustomerId, CustomerBucket] = {}
        self._last_grant = 0
        self.starts = StartAdmission(parameters.program_wait_s)

    def handle(self, event: Event, now: float) -> list[Send]:
        """Handle an event and return the messages to holders."""
        self._expire_grants(now)
        match event:
            case Tick():
                return self._serve_unmet(now)
            case Receive(sender=sender, message=LimitDemand() as demand):
                return self._handle_demand(sender, demand, now)
            case ShardsInstalled(shards=shards):
                self._install_shards(shards, now)
            case LeaseRenewed(until=until):
                self.lease_until = max(self.lease_until, until)
            case LimitsInstalled(limits=limits):
                self._install_limits(limits, now)
            case _:
                pass
        return []

    def has_started(self, now: float) -> bool:
        """Return whether the start wait of every owned shard is over."""
        return all(shard.starts_at <= now for shard in self._shards.values())

    # Shards and limits.

    def _install_shards(self, shards: ShardMap, now: float) -> None:
        for shard in sorted({*self._shards, *shards.views}):
            view = shards.get_view(shard)
            if view is None or view.primary != self.instance:
                self._drop_shard(shard)
                continue
            owned = self._shards.get(shard)
            # A gap in the view numbers means that another instance may have owned the
            # shard in between. Its grants are unknown here, so the wait starts again.
            if owned is not None and view.number - owned.number in (0, 1):
                owned.number = view.number
                continue
            self._drop_shard(shard)
            self._shards[shard] = _Shard(view.number, now + self.start_wait_s)
        self._create_buckets(now)

    def _drop_shard(self, shard: ShardId) -> None:
        if self._shards.pop(shard, None) is None:
            return
        for customer in [
            name for name, bucket in self.buckets.items() if bucket.shard == shard
        ]:
            del self.buckets[customer]
            self._unmet.pop(customer, None)
        self.starts.retain(self.buckets)

    def _create_buckets(self, now: float) -> None:
        for customer, limit in self._limits.items():
            if customer in self.buckets:
                continue
            shard = find_customer_shard(customer)
            owned = self._shards.get(shard)
            if owned is not None:
                starts_at = max(now, owned.starts_at)
                margin = self.parameters.clock_margin
                self.buckets[customer] = CustomerBucket(shard, limit, margin, starts_at)

    def _install_limits(self, limits: dict[CustomerId, Limit], now: float) -> None:
        self._limits = limits
        for customer, bucket in list(self.buckets.items()):
            limit = limits.get(customer, NO_LIMIT)
            if limit != bucket.limit:
                bucket.change_limit(limit, now)
            elif limit is NO_LIMIT and not bucket.outstanding:
                del self.buckets[customer]
        self._create_buckets(now)

    # Demands.

    def _handle_demand(
        self, sender: InstanceId, demand: LimitDemand, now: float
    ) -> list[Send]:
        answers: list[_Answer] = []
        owned = [item for item in demand.progress if item.customer in self.buckets]
        self.starts.record(owned, now)
        if demand.epoch == self.epoch:
            for close in demand.closes:
                self._close_grant(sender, close, answers, now)
        if self._is_latest(sender, demand, now) and now < self.lease_until:
            self._holders[sender].sequence = demand.sequence
            answer = _Answer(sender, demand.incarnation, demand.sequence)
            answers.insert(0, answer)
            for want in demand.wants:
                self._handle_want(answer, answers, demand, want, now)
        recalls: dict[InstanceId, list[CustomerId]] = {}
        for want in demand.wants:
            self._recall(want.customer, recalls, now)
        sends = [self._build_message(answer) for answer in answers]
        return sends + self._build_recalls(recalls)

    def _is_latest(self, sender: InstanceId, demand: LimitDemand, now: float) -> bool:
        holder = self._holders.get(sender)
        # After a clock was set back, a restarted holder has a lower incarnation than
        # before. It is accepted once no message of the former one can arrive.
        silent = holder is not None and now - holder.last_demand_at >= HOLDER_SILENCE_S
        if holder is None or silent or demand.incarnation > holder.incarnation:
            holder = self._holders[sender] = _Holder(demand.incarnation, 0, now)
        if demand.incarnation == holder.incarnation:
            holder.last_demand_at = now
        if demand.incarnation < holder.incarnation or not demand.wants:
            return False
        return demand.sequence > holder.sequence

    def _close_grant(
        self,
        sender: InstanceId,
        close: LimitClose,
        answers: list[_Answer],
        now: float,
    ) -> None:
        grant = self._outstanding.get(close.grant)
        if grant is None or grant.holder != sender:
            return
        del self._outstanding[close.grant]
        grant.bucket.prefetched.pop(close.grant, None)
        # The age is measured by the holder's clock, which may run fast.
        age_s = close.age_ms / MS_PER_S / self.parameters.expiry_factor
        grant.bucket.close(grant.units, close.unspent, now - age_s, now)
        grant.bucket.restore_lost_refill(grant.units - close.unspent, now - age_s)
        if self._unmet.get(grant.customer) is grant.bucket and now < self.lease_until:
            self._serve(grant.customer, grant.bucket, answers, now)

    def _handle_want(
        self,
        answer: _Answer,
        answers: list[_Answer],
        demand: LimitDemand,
        want: LimitWant,
        now: float,
    ) -> None:
        bucket = self.buckets.get(want.customer)
        if bucket is None or bucket.limit is NO_LIMIT:
            if find_customer_shard(want.customer) in self._shards:
                self._refuse(answer, want.customer, 0, 1.0, Reason.CUSTOMER_UNKNOWN)
            else:
                moved = Reason.OWNER_MOVED
                self._refuse(answer, want.customer, want.need, 0.0, moved)
            return
        if want.head > bucket.limit.burst:
            self._refuse(answer, want.customer, 0, 1.0, Reason.COST_ABOVE_BURST)
            return
        bucket.refill(now)
        acknowledged = demand.acknowledged if demand.epoch == self.epoch else 0
        holder = answer.holder
        unacknowledged = bucket.count_unacknowledged(
            holder, demand.incarnation, acknowledged, now
        )
        decision = self.starts.decide(holder, want, bucket, now)
        answer.starts += decision.verdicts
        units = want.need - unacknowledged - decision.refused_units
        if units > 0:
            need = Need(demand.incarnation, demand.sequence, now, units, want.head)
            need.in_flight = min(units, want.in_flight + decision.admitted_units)
            bucket.needs[holder] = need
            self._unmet[want.customer] = bucket
        else:
            bucket.needs.pop(holder, None)
        self._serve(want.customer, bucket, answers, now)
        if holder in bucket.needs:
            self._reduce_need(answer, want.customer, bucket, now)
        elif want.prefetch > 0 and not bucket.needs:
            self._grant_prefetch(answer, want, bucket, now)

    def _serve(
        self,
        customer: CustomerId,
        bucket: CustomerBucket,
        answers: list[_Answer],
        now: float,
    ) -> None:
        granted: dict[InstanceId, int] = {}
        served: dict[InstanceId, Need] = {}
        while bucket.needs:
            holder, need, is_urgent = choose_need(bucket)
            if now - need.received_at > self.parameters.pending_s:
                del bucket.needs[holder]
                continue
            head = min(need.head, need.units)
            # Needs are met in order. Skipping one whose first request does not fit yet
            # would starve requests with a large cost.
            if bucket.spendable < head:
                break
            units = head
            if len(bucket.needs) == 1:
                units = min(need.units, int(bucket.spendable // head) * head)
            bucket.take(units)
            granted[holder] = granted.get(holder, 0) + units
            served[holder] = need
            need.units -= units
            bucket.urgent_run = bucket.urgent_run + 1 if is_urgent else 0
            if is_urgent:
                need.in_flight = max(0, need.in_flight - units)
            need.in_flight = min(need.in_flight, need.units)
            del bucket.needs[holder]
            if need.units > 0:
                bucket.needs[holder] = need
        if not bucket.needs:
            self._unmet.pop(customer, None)
        for holder, units in granted.items():
            need = served[holder]
            answer = _find_answer(answers, holder, need)
            valid_s = now - need.received_at + self.parameters.immediate_s
            grant = self._record_grant(
                customer, bucket, holder, units, need.received_at, valid_s
            )
            answer.grants.append(grant)
            expires_at = need.received_at + valid_s * self.parameters.expiry_factor
            unacknowledged = UnacknowledgedGrant(
                need.incarnation, grant.grant, units, expires_at
            )
            bucket.unacknowledged.setdefault(holder, []).append(unacknowledged)

    def _reduce_need(
        self,
        answer: _Answer,
        customer: CustomerId,
        bucket: CustomerBucket,
        now: float,
    ) -> None:
        """Refuse the part of a need that cannot be met within `pending_s`."""
        need = bucket.needs[answer.holder]
        rate = bucket.slowed_rate
        delay_s = max(0.0, bucket.refilled_at - now)
        prefetched = bucket.count_prefetched()
        longest_s = max(self.parameters.pending_s, self.parameters.program_wait_s)
        promised = reduce_in_flight(
            bucket, need, bucket.estimate_spendable(longest_s) + prefetched
        )
        available = limit_others(
            bucket,
            bucket.estimate_spendable(self.parameters.pending_s) + prefetched,
        )
        others = bucket.count_needs() - bucket.count_in_flight() - need.others
        fair_share = available / len(bucket.needs)
        head = min(need.head, need.units)
        rest = int(max(available - others, fair_share) // head) * head
        pending = promised + min(need.others, rest)
        if (
            not pending
            and head <= available
            and self._is_largest(answer, bucket, fair_share)
        ):
            pending = head
        if pending >= need.units:
            if delay_s:
                starting = Reason.OWNER_STARTING
                self._refuse(answer, customer, need.units, delay_s, starting)
            return
        missing = others + pending + head - available
        retry_s = delay_s + max(0.0, missing) / rate if rate else 1.0
        reason = Reason.OWNER_STARTING if delay_s else Reason.RATE
        self._refuse(answer, customer, pending, retry_s, reason)
        need.units = pending
        need.in_flight = promised
        if pending == 0:
            del bucket.needs[answer.holder]
            if not bucket.needs:
                self._unmet.pop(customer, None)

    def _is_largest(
        self, answer: _Answer, bucket: CustomerBucket, fair_share: float
    ) -> bool:
        """Return whether every other holder's head is within the fair share."""
        return all(
            need.head <= fair_share
            for holder, need in bucket.needs.items()
            if holder != answer.holder
        )

    def _grant_prefetch(
        self, answer: _Answer, want: LimitWant, bucket: CustomerBucket, now: float
    ) -> None:
        spare = bucket.spendable - bucket.limit.burst * PREFETCH_BURST_SHARE
        units = min(want.prefetch, int(spare))
        if units <= 0:
            return
        bucket.take(units)
        valid_s = self.parameters.prefetch_s
        grant = self._record_grant(
            want.customer, bucket, answer.holder, units, now, valid_s
        )
        bucket.prefetched[grant.grant] = PrefetchGrant(answer.holder, units)
        answer.grants.append(grant)

    def _refuse(
        self,
        answer: _Answer,
        customer: CustomerId,
        pending: int,
        retry_s: float,
        reason: Reason,
    ) -> None:
        retry_ms = max(1, round(retry_s * MS_PER_S))
        verdict = LimitVerdict(customer, pending, retry_ms, reason.value)
        answer.verdicts.append(verdict)

    # Grants.

    def _record_grant(
        self,
        customer: CustomerId,
        bucket: CustomerBucket,
        holder: InstanceId,
        units: int,
        received_at: float,
        valid_s: float,
    ) -> LimitGrant:
        self._last_grant += 1
        number = self._last_grant
        valid_ms = int(min(valid_s, GRANT_LIMIT_S) * MS_PER_S)
        # The holder measures the validity from when it sent its demand, by its own
        # clock. The owner measures it from when it received the demand, and adds the
        # margin of both clocks.
        expires_at = received_at + valid_ms / MS_PER_S * self.parameters.expiry_factor
        self._outstanding[number] = _OutstandingGrant(customer, bucket, holder, units)
        heapq.heappush(self._expiries, (expires_at, number))
        refill = bucket.limit.rate_per_s * valid_s
        return LimitGrant(
            customer, number, units, valid_ms, refill >= UNITS_PER_REQUEST
        )

    def _expire_grants(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, number = heapq.heappop(self._expiries)
            grant = self._outstanding.pop(number, None)
            if grant is not None:
                # The owner cannot know whether the grant was spent and assumes it was.
                grant.bucket.prefetched.pop(number, None)
                grant.bucket.close(grant.units, 0, expires_at, expires_at)

    def _build_message(self, answer: _Answer) -> Send:
        message = LimitGrants(
            answer.incarnation,
            answer.sequence,
            self.epoch,
            answer.grants,
            answer.verdicts,
            answer.starts,
            True,
        )
        return Send(answer.holder, message)

    # Needs that wait for the refill of their bucket.

    def _serve_unmet(self, now: float) -> list[Send]:
        if now >= self.lease_until:
            return []
        answers: list[_Answer] = []
        recalls: dict[InstanceId, list[CustomerId]] = {}
        for customer, bucket in list(self._unmet.items()):
            bucket.refill(now)
            self._serve(customer, bucket, answers, now)
            self._recall(customer, recalls, now)
        sends = [self._build_message(answer) for answer in answers]
        return sends + self._build_recalls(recalls)

    def _build_recalls(self, recalls: dict[InstanceId, list[CustomerId]]) -> list[Send]:
        sends = []
        for holder, customers in recalls.items():
            incarnation = self._holders[holder].incarnation
            recall = LimitRecall(incarnation, self.epoch, customers)
            sends.append(Send(holder, recall))
        return sends

    def _recall(
        self,
        customer: CustomerId,
        recalls: dict[InstanceId, list[CustomerId]],
        now: float,
    ) -> None:
        bucket = self._unmet.get(customer)
        if bucket is None or not bucket.prefetched:
            return
        if now - bucket.recalled_at < self.parameters.repeat_s:
            return
        bucket.recalled_at = now
        for holder in dict.fromkeys(item.holder for item in bucket.prefetched.values()):
            recalls.setdefault(holder, []).append(customer)


def _find_answer(answers: list[_Answer], holder: InstanceId, need: Need) -> _Answer:
    for answer in answers:
        if answer.holder == holder and answer.sequence == need.sequence:
            return answer
    answer = _Answer(holder, need.incarnation, need.sequence)
    answers.append(answer)
    return answer
