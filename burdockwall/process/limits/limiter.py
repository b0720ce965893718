"""Admit requests within each customer's rate and burst."""

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.limits.bucket import TokenBucket, create_bucket
from burdockwall.types import CustomerId
from burdockwall.version.configuration import Customer


class Limiter:
    """Hold one bucket for each customer."""

    def __init__(self) -> None:
        self._buckets: dict[CustomerId, TokenBucket] = {}

    def admit(self, customer: Customer, cost: float, now: float) -> None:
        """Take a request's cost, or raise RequestRefused with when to retry."""
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = create_bucket(customer.rate_per_s, customer.burst, now)
            self._buckets[customer.name] = bucket
        bucket.rate_per_s = customer.rate_per_s
        bucket.burst = customer.burst
        if not bucket.take(cost, now):
            wait = bucket.compute_wait(cost)
            raise RequestRefused(Code.RATE_EXCEEDED, retry_after_s=wait)
