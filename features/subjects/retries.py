"""Retry budgets under test on a virtual clock."""

import random

from burdockwall.process.limits.retries import RetryBudget, RetryPolicy
from burdockwall.types import CustomerId, PoolName

POOL = PoolName("llm")
CUSTOMER = CustomerId("association")


class RetrySubject:
    def __init__(self, share: float, reserve: float) -> None:
        self.policy = RetryPolicy(share, reserve, 10.0, 0.05, 2.0)
        self.budget = RetryBudget(self.policy)
        self.random = random.Random(1)
        self.allowed = 0
        self.now = 0.0

    def fail_requests(self, requests: int, retries: int) -> None:
        for _ in range(requests):
            self.budget.record_request(POOL, CUSTOMER, self.now)
        for _ in range(requests * retries):
            self.allowed += self.take()

    def spend(self) -> None:
        while self.take():
            self.allowed += 1

    def take(self, pool: PoolName = POOL, customer: CustomerId = CUSTOMER) -> bool:
        return self.budget.take_retry(pool, customer, self.now)
