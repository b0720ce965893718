"""Limiters without one of their protections, to show that the check can fail."""

from burdockwall.process.limits.bucket import CustomerBucket
from burdockwall.process.limits.holder import LimitHolder
from burdockwall.process.limits.messages import LimitGrants
from burdockwall.process.limits.owner import LimitOwner
from burdockwall.process.limits.units import LimitParameters
from features.subjects.limits import LimitNetwork


class UncountedBucket(CustomerBucket):
    """Refills up to the whole burst, regardless of outstanding grants."""

    __slots__ = ()

    def refill(self, now):
        outstanding, self.outstanding = self.outstanding, 0
        super().refill(now)
        self.outstanding = outstanding


class UncountedOwner(LimitOwner):
    def _create_buckets(self, now):
        super()._create_buckets(now)
        for bucket in self.buckets.values():
            bucket.__class__ = UncountedBucket


class FullOwner(LimitOwner):
    """Starts with a full burst."""

    def _create_buckets(self, now):
        existing = set(self.buckets)
        super()._create_buckets(now)
        for name in self.buckets.keys() - existing:
            bucket = self.buckets[name]
            bucket.level = float(bucket.limit.burst)


class LeaselessOwner(LimitOwner):
    """Grants units after the lease has expired."""

    def handle(self, event, now):
        self.lease_until = float("inf")
        return super().handle(event, now)


class RefundingOwner(LimitOwner):
    """Returns an expired grant to the bucket as if it had not been spent."""

    def _expire_grants(self, now):
        for expires_at, number in self._expiries:
            if expires_at <= now and number in self._outstanding:
                grant = self._outstanding.pop(number)
                grant.bucket.close(grant.units, grant.units, expires_at, expires_at)
        super()._expire_grants(now)


class RepeatingOwner(LimitOwner):
    """Applies a repeated close again."""

    def _close_grant(self, sender, close, answers, now):
        grant = self._outstanding.get(close.grant)
        super()._close_grant(sender, close, answers, now)
        if grant is not None and grant.holder == sender:
            self._outstanding[close.grant] = grant


class DoublingHolder(LimitHolder):
    """Adds a repeated grant again."""

    def _handle_grants(self, sender, message, now):
        self._received_grants.clear()
        return super()._handle_grants(sender, message, now)


class ForgetfulHolder(LimitHolder):
    """Accepts grants that a former process of this instance demanded."""

    def _handle_grants(self, sender, message, now):
        self._sent_demands.setdefault(message.sequence, now)
        message = LimitGrants(
            self.incarnation,
            message.sequence,
            message.epoch,
            message.grants,
            message.verdicts,
        )
        return super()._handle_grants(sender, message, now)


class LateHolder(LimitHolder):
    """Measures a grant's validity from its arrival."""

    def _handle_grants(self, sender, message, now):
        if message.sequence in self._sent_demands:
            self._sent_demands[message.sequence] = now
        return super()._handle_grants(sender, message, now)


class MarginlessParameters(LimitParameters):
    @property
    def expiry_factor(self):
        return 1.0


class FastBucket(CustomerBucket):
    __slots__ = ()

    @property
    def slowed_rate(self):
        return self.limit.rate_per_s


class FastOwner(LimitOwner):
    """Refills by its own clock, without a margin for its speed."""

    def _create_buckets(self, now):
        super()._create_buckets(now)
        for bucket in self.buckets.values():
            bucket.__class__ = FastBucket


class GenerousBucket(CustomerBucket):
    """Restores refill that was lost before the units were spent, too."""

    __slots__ = ()

    def restore_lost_refill(self, units, spent_at):
        super().restore_lost_refill(units, float("-inf"))


class GenerousOwner(LimitOwner):
    def _create_buckets(self, now):
        super()._create_buckets(now)
        for bucket in self.buckets.values():
            bucket.__class__ = GenerousBucket


class EagerNetwork(LimitNetwork):
    def get_start_wait_s(self):
        return 0.0


class MarginlessNetwork(LimitNetwork):
    parameters_class = MarginlessParameters


def create_class(**attributes) -> type[LimitNetwork]:
    return type("UnsafeNetwork", (LimitNetwork,), attributes)


UNSAFE = {
    "the wait of a new owner": EagerNetwork,
    "the count of outstanding grants against the burst": create_class(
        owner_class=UncountedOwner
    ),
    "the empty burst of a new owner": create_class(owner_class=FullOwner),
    "the owner's lease": create_class(owner_class=LeaselessOwner),
    "the rule that expired grants count as spent": create_class(
        owner_class=RefundingOwner
    ),
    "the record of closed grants": create_class(owner_class=RepeatingOwner),
    "the record of received grants": create_class(holder_class=DoublingHolder),
    "the incarnation of the holder": create_class(holder_class=ForgetfulHolder),
    "the count of a grant's time from its demand": create_class(
        holder_class=LateHolder
    ),
    "the later expiry at the owner": MarginlessNetwork,
    "the time of a spend in the restored refill": create_class(
        owner_class=GenerousOwner
    ),
    "the slowed refill": create_class(owner_class=FastOwner),
}
