"""The holder of granted units: it admits the requests of one instance."""

import msgspec

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.limits.events import (
    Admit,
    Admitted,
    Reason,
    Refused,
    Withdraw,
)
from burdockwall.process.limits.grants import (
    CustomerGrants,
    Estimate,
    ReceivedGrant,
    WaitingRequest,
)
from burdockwall.process.limits.kinds import Kind
from burdockwall.process.limits.messages import (
    LimitClose,
    LimitDemand,
    LimitGrants,
    LimitProgress,
    LimitRecall,
    LimitStart,
    LimitVerdict,
    LimitWant,
)
from burdockwall.process.limits.start_verdicts import apply_start_verdicts
from burdockwall.process.limits.units import (
    GRANT_LIMIT_S,
    MS_PER_S,
    UNITS_PER_REQUEST,
    LimitParameters,
)
from burdockwall.types import CustomerId, Incarnation, InstanceId
from burdockwall.version.shards import (
    ShardMap,
    ShardsInstalled,
    find_customer_shard,
)

Event = Admit | Withdraw | Tick | Receive | ShardsInstalled
Action = Send | Admitted | Refused
PREFETCH_MIN_UNITS = 2 * UNITS_PER_REQUEST
CUSTOMER_IDLE_S = 10.0


class _Owner(msgspec.Struct):
    """The state of one owner.

    `in_flight` is the sequence number of the unanswered demand, or None. Wants that
    arrive in the meantime are collected in `wants` and sent in one demand.
    """

    epoch: Incarnation = Incarnation(0)
    last_grant: int = 0
    in_flight: int | None = None
    unanswered_since: float = 0.0
    sent_at: float = float("-inf")
    unreachable: bool = False
    wants: dict[CustomerId, CustomerGrants] = msgspec.field(default_factory=dict)
    closes: list[ReceivedGrant] = msgspec.field(default_factory=list)


class LimitHolder:
    """Spends grants on requests, demands more, and returns unused units."""

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        parameters: LimitParameters,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.parameters = parameters
        self._shards = ShardMap()
        self._customers: dict[CustomerId, CustomerGrants] = {}
        self._owners: dict[InstanceId, _Owner] = {}
        self._sent_demands: dict[int, float] = {}
        self._received_grants: dict[tuple[InstanceId, Incarnation, int], float] = {}
        self._sequence = 0

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the admissions, refusals and messages."""
        match event:
            case Admit():
                return self._admit(event, now)
            case Withdraw():
                self._withdraw(event)
                return []
            case Tick():
                return self._tick(now)
            case Receive(sender=sender, message=LimitGrants() as message):
                return self._handle_grants(sender, message, now)
            case Receive(sender=sender, message=LimitRecall() as message):
                return self._handle_recall(sender, message, now)
            case ShardsInstalled(shards=shards):
                return self._install_shards(shards, now)
            case _:
                return []

    def has_owners(self) -> bool:
        """Return whether a shard map with owners is installed."""
        return bool(self._shards.views)

    # Requests.

    def _admit(self, event: Admit, now: float) -> list[Action]:
        entry = self._get_entry(event.customer, now)
        entry.used_at = now
        entry.estimate.record(event.units, now)
        entry.expire(now)
        is_start = event.kind is Kind.START
        if (
            not is_start
            and entry.is_ahead(event.kind)
            and entry.spend(event.units, now)
        ):
            entry.record_admitted(event.kind, event.program, 0.0, now)
            admitted = Admitted(event.call, event.customer, event.units)
            return [admitted, *self._request_prefetch(entry, now)]
        refused = self._refuse_at_once(entry, event, now)
        if refused is not None:
            return [refused, *self._probe(entry, now)]
        wait_s = self.parameters.wait_s
        # Before the first shards are assigned, every owner is about to start.
        start_s = 0.0 if self._shards.views else GRANT_LIMIT_S
        longest_s = wait_s + start_s
        if event.kind is Kind.IN_FLIGHT:
            longest_s = max(longest_s, event.wait_s)
        entry.enqueue(
            WaitingRequest(
                event.call,
                event.units,
                now + min(event.wait_s, longest_s),
                0,
                event.wait_s >= wait_s,
                event.kind,
                event.program,
                now,
                now + event.wait_s,
            )
        )
        return self._request_grants(entry, now)

    def _get_entry(self, customer: CustomerId, now: float) -> CustomerGrants:
        entry = self._customers.get(customer)
        if entry is None:
            estimate = Estimate(self.parameters.horizon_s, now)
            entry = CustomerGrants(customer, estimate, self._find_owner(customer))
            self._customers[customer] = entry
        return entry

    def _find_owner(self, customer: CustomerId) -> InstanceId | None:
        view = self._shards.get_view(find_customer_shard(customer))
        return view.primary if view else None

    def _refuse_at_once(
        self, entry: CustomerGrants, event: Admit, now: float
    ) -> Refused | None:
        owner = self._owners.get(entry.owner) if entry.owner else None
        if owner is not None and owner.unreachable:
            reason, wait_s = Reason.OWNER_UNREACHABLE, self.parameters.wait_s
        elif event.kind is not Kind.ALONE and entry.reason is Reason.RATE:
            # The owner decides about starts, and programs under way wait for the rate.
            return None
        elif now < entry.blocked_until:
            reason, wait_s = entry.reason, entry.blocked_until - now
        else:
            return None
        return Refused(event.call, event.customer, reason, wait_s)

    def _withdraw(self, event: Withdraw) -> None:
        entry = self._customers.get(event.customer)
        if entry is None:
            return
        for request in entry.waiting:
            if request.call == event.call:
                entry.waiting.remove(request)
                return

    def _admit_waiting(self, entry: CustomerGrants, now: float) -> list[Action]:
        actions: list[Action] = []
        entry.expire(now)
        request = entry.find_next()
        while request is not None and entry.spend(request.units, now):
            entry.waiting.remove(request)
            waited_s = now - request.arrived_at
            entry.record_admitted(request.kind, request.program, waited_s, now)
            actions.append(Admitted(request.call, entry.customer, request.units))
            request = entry.find_next()
        return actions

    # Demands.

    def _request_grants(self, entry: CustomerGrants, now: float) -> list[Action]:
        if entry.owner is None:
            return []
        owner = self._owners.setdefault(entry.owner, _Owner())
        owner.wants[entry.customer] = entry
        return self._send_wants(entry.owner, owner, now)

    def _request_prefetch(self, entry: CustomerGrants, now: float) -> list[Action]:
        if not self._needs_prefetch(entry, now):
            return []
        entry.wants_prefetch = True
        return self._request_grants(entry, now)

    def _needs_prefetch(self, entry: CustomerGrants, now: float) -> bool:
        if now - entry.prefetch_at < self.parameters.horizon_s / 2:
            return False
        expected = entry.estimate.expect(now)
        if expected < PREFETCH_MIN_UNITS or entry.count_units() > expected // 2:
            return False
        entry.prefetch_at = now
        return True

    def _probe(self, entry: CustomerGrants, now: float) -> list[Action]:
        owner = self._owners.get(entry.owner) if entry.owner else None
        if entry.owner is None or owner is None or not owner.unreachable:
            return []
        owner.wants[entry.customer] = entry
        return self._send_wants(entry.owner, owner, now)

    def _send_wants(self, name: InstanceId, owner: _Owner, now: float) -> list[Action]:
        repeat_s = self.parameters.repeat_s
        unanswered = owner.in_flight is not None and now - owner.sent_at < repeat_s
        if unanswered or not owner.wants:
            return []
        self._sequence += 1
        sequence = self._sequence
        wants = [
            self._build_want(entry, sequence, now) for entry in owner.wants.values()
        ]
        owner.wants = {}
        self._sent_demands[sequence] = now
        if owner.in_flight is None:
            owner.unanswered_since = now
        owner.in_flight = sequence
        owner.sent_at = now
        return [Send(name, self._build_demand(name, owner, sequence, wants, now))]

    def _build_want(
        self, entry: CustomerGrants, sequence: int, now: float
    ) -> LimitWant:
        for request in entry.waiting:
            request.demand = request.demand or sequence
        need = entry.count_need()
        head = entry.count_head() if need else 0
        prefetch = 0
        if entry.wants_prefetch or self._needs_prefetch(entry, now):
            prefetch = max(0, entry.estimate.expect(now) - entry.count_units())
        entry.wants_prefetch = False
        entry.reported_need = need
        entry.reported_at = now
        starts = [LimitStart(item.program, item.units) for item in entry.list_starts()]
        in_flight = entry.count_in_flight()
        return LimitWant(entry.customer, need, head, prefetch, in_flight, starts)

    def _take_progress(self, name: InstanceId, now: float) -> list[LimitProgress]:
        return [
            progress
            for entry in self._customers.values()
            if entry.owner == name and entry.reports.unreported_since is not None
            for progress in entry.reports.take(entry.customer, now)
        ]

    def _build_demand(
        self,
        name: InstanceId,
        owner: _Owner,
        sequence: int,
        wants: list[LimitWant],
        now: float,
    ) -> LimitDemand:
        closes = [
            LimitClose(
                grant.number, grant.units, int((now - grant.spent_at) * MS_PER_S)
            )
            for grant in owner.closes
        ]
        owner.closes = []
        return LimitDemand(
            self.incarnation,
            sequence,
            owner.epoch,
            owner.last_grant,
            wants,
            closes,
            self._take_progress(name, now),
        )

    # Answers.

    def _handle_grants(
        self, sender: InstanceId, message: LimitGrants, now: float
    ) -> list[Action]:
        sent_at = self._sent_demands.get(message.sequence)
        if message.incarnation != self.incarnation or sent_at is None:
            return []
        owner = self._owners.setdefault(sender, _Owner())
        owner.unreachable = False
        if message.epoch > owner.epoch:
            owner.epoch = message.epoch
            owner.last_grant = 0
            owner.closes = []
            self._resend_progress(sender, now)
        if owner.in_flight is not None and message.sequence >= owner.in_flight:
            owner.in_flight = None
        touched = self._add_grants(sender, owner, message, sent_at, now)
        actions: list[Action] = []
        for customer, refused in apply_start_verdicts(message, self._customers):
            actions += refused
            touched[customer] = self._customers[customer]
        for entry in touched.values():
            actions += self._admit_waiting(entry, now)
        for verdict in message.verdicts:
            actions += self._handle_verdict(verdict, message.sequence, now)
            touched[verdict.customer] = self._customers[verdict.customer]
        for entry in touched.values():
            self._close_spent(entry)
            if entry.count_need() > entry.reported_need:
                owner.wants[entry.customer] = entry
        return actions + self._send_wants(sender, owner, now)

    def _add_grants(
        self,
        sender: InstanceId,
        owner: _Owner,
        message: LimitGrants,
        sent_at: float,
        now: float,
    ) -> dict[CustomerId, CustomerGrants]:
        touched: dict[CustomerId, CustomerGrants] = {}
        for grant in message.grants:
            key = (sender, message.epoch, grant.grant)
            expires_at = sent_at + grant.valid_ms / MS_PER_S
            if key in self._received_grants or expires_at <= now:
                continue
            self._received_grants[key] = expires_at
            if message.epoch == owner.epoch:
                owner.last_grant = max(owner.last_grant, grant.grant)
            entry = self._get_entry(grant.customer, now)
            received = ReceivedGrant(
                sender,
                message.epoch,
                grant.grant,
                grant.units,
                expires_at,
                now,
                grant.report_spend,
            )
            entry.add(received)
            entry.reported_need = max(0, entry.reported_need - grant.units)
            entry.reason = Reason.RATE
            touched[grant.customer] = entry
        return touched

    def _handle_verdict(
        self, verdict: LimitVerdict, sequence: int, now: float
    ) -> list[Action]:
        entry = self._get_entry(verdict.customer, now)
        retry_s = verdict.retry_ms / MS_PER_S
        entry.reason = Reason(verdict.reason)
        entry.reported_need = verdict.pending
        actions: list[Action] = []
        promised_units = verdict.pending + entry.count_units()
        waiting = list(entry.waiting)
        entry.waiting.clear()
        for request in waiting:
            promised_units -= request.units
            if promised_units >= 0 or request.demand > sequence or not request.demand:
                entry.waiting.append(request)
                continue
            refused = Refused(request.call, entry.customer, entry.reason, retry_s)
            actions.append(refused)
        if actions:
            entry.blocked_until = now + retry_s
        if entry.reason is Reason.OWNER_STARTING:
            self._extend_waiting(entry, now + retry_s)
        return actions

    def _extend_waiting(self, entry: CustomerGrants, starts_at: float) -> None:
        # Waiting for the owner to start is faster than a retry after its start.
        for request in entry.waiting:
            if request.waits_for_start:
                expires_at = starts_at + self.parameters.wait_s
                request.expires_at = max(request.expires_at, expires_at)

    def _resend_progress(self, owner: InstanceId, now: float) -> None:
        for entry in self._customers.values():
            if entry.owner == owner:
                entry.reports.resend(now)

    def _handle_recall(
        self, sender: InstanceId, message: LimitRecall, now: float
    ) -> list[Action]:
        owner = self._owners.get(sender)
        current = owner is not None and owner.epoch == message.epoch
        if owner is None or not current or message.incarnation != self.incarnation:
            return []
        for customer in message.customers:
            entry = self._customers.get(customer)
            if entry is not None and not entry.waiting:
                self._return_grants(entry, float("inf"))
        return self._send_closes(sender, owner, now)

    # Unused grants.

    def _close_spent(self, entry: CustomerGrants) -> None:
        self._return_grants(entry, float("-inf"))

    def _return_grants(self, entry: CustomerGrants, expiring_before: float) -> None:
        for grant in entry.remove_grants(expiring_before):
            owner = self._owners.get(grant.owner)
            if owner is not None and owner.epoch == grant.epoch:
                owner.closes.append(grant)

    def _send_closes(self, name: InstanceId, owner: _Owner, now: float) -> list[Action]:
        if not owner.closes and not self._is_progress_due(name, now):
            return []
        self._sequence += 1
        return [Send(name, self._build_demand(name, owner, self._sequence, [], now))]

    def _is_progress_due(self, name: InstanceId, now: float) -> bool:
        return any(
            entry.owner == name and entry.reports.is_due(now)
            for entry in self._customers.values()
        )

    # Time.

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for customer, entry in list(self._customers.items()):
            entry.expire(now)
            actions += self._expire_waiting(entry, now)
            self._review_entry(entry, now)
            idle = not entry.grants and not entry.waiting
            if idle and now - entry.used_at > CUSTOMER_IDLE_S:
                del self._customers[customer]
        for name, owner in self._owners.items():
            in_flight = owner.in_flight is not None
            silent = now - owner.unanswered_since >= self.parameters.silence_s
            if in_flight and silent and not owner.unreachable:
                owner.unreachable = True
                actions += self._refuse_waiting(name)
            actions += self._send_wants(name, owner, now)
            has_news = any(item.units or item.report_spend for item in owner.closes)
            if has_news or self._is_progress_due(name, now):
                actions += self._send_closes(name, owner, now)
            elif now - owner.sent_at >= GRANT_LIMIT_S:
                # These grants have expired, so the owner counts them as spent.
                owner.closes = []
        self._drop_old(now)
        return actions

    def _refuse_waiting(self, owner: InstanceId) -> list[Action]:
        """Refuse the requests that wait for an unreachable owner."""
        actions: list[Action] = []
        for entry in self._customers.values():
            if entry.owner != owner:
                continue
            for request in list(entry.waiting):
                reason = Reason.OWNER_UNREACHABLE
                actions.append(self._refuse_waiting_request(entry, request, reason))
        return actions

    def _refuse_waiting_request(
        self, entry: CustomerGrants, request: WaitingRequest, reason: Reason
    ) -> Refused:
        entry.waiting.remove(request)
        wait_s = self.parameters.wait_s
        return Refused(request.call, entry.customer, reason, wait_s)

    def _expire_waiting(self, entry: CustomerGrants, now: float) -> list[Action]:
        actions: list[Action] = []
        for request in [item for item in entry.waiting if item.expires_at <= now]:
            owner = self._owners.get(entry.owner) if entry.owner else None
            unanswered = owner is None or owner.in_flight is not None
            reason = Reason.OWNER_UNREACHABLE if unanswered else entry.reason
            actions.append(self._refuse_waiting_request(entry, request, reason))
        return actions

    def _review_entry(self, entry: CustomerGrants, now: float) -> None:
        parameters = self.parameters
        if entry.waiting:
            if entry.owner and now - entry.reported_at >= parameters.repeat_s:
                owner = self._owners.setdefault(entry.owner, _Owner())
                owner.wants[entry.customer] = entry
            return
        if now - entry.used_at >= parameters.idle_s:
            self._return_grants(entry, float("inf"))
        else:
            self._return_grants(entry, now + parameters.repeat_s)

    def _drop_old(self, now: float) -> None:
        oldest = now - GRANT_LIMIT_S
        self._sent_demands = {
            sequence: sent_at
            for sequence, sent_at in self._sent_demands.items()
            if sent_at > oldest
        }
        self._received_grants = {
            key: expires_at
            for key, expires_at in self._received_grants.items()
            if expires_at > now
        }

    def _install_shards(self, shards: ShardMap, now: float) -> list[Action]:
        self._shards = shards
        actions: list[Action] = []
        for entry in self._customers.values():
            owner = self._find_owner(entry.customer)
            if owner == entry.owner:
                continue
            entry.owner = owner
            entry.blocked_until = float("-inf")
            entry.reports.resend(now)
            if entry.waiting:
                actions += self._request_grants(entry, now)
        return actions
