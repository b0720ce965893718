"""A balancer for the requests of one program, and a fake exchange."""

import random
from collections import Counter

from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.balance import Balancer
from burdockwall.types import Address, EndpointId, FailureDomain, ServiceName

PROGRAM = "program-1"
CHOICES = 200


class BalancedRequests:
    """Some endpoints and a balancer."""

    def __init__(self, count: int, slots: int) -> None:
        self.endpoints = [
            ListedEndpoint(
                EndpointId(f"e{number}"),
                ServiceName("s"),
                Address(f"127.0.0.1:{9000 + number}"),
                FailureDomain("a"),
                slots,
            )
            for number in range(count)
        ]
        self.balancer = Balancer(FailureDomain("a"), random.Random(1))

    def choose(self, balancer: Balancer) -> EndpointId:
        chosen = balancer.choose(self.endpoints, PROGRAM, 1.0)
        assert chosen is not None
        return chosen.name

    def count_chosen(self, now: float) -> Counter:
        chosen = [self.balancer.choose(self.endpoints, "", now) for _ in range(CHOICES)]
        return Counter(each.name for each in chosen if each is not None)


class FakeExchange:
    """The headers of a request without a connection."""

    def __init__(self, headers: dict[str, str]) -> None:
        self.headers = [
            (name.encode(), value.encode()) for name, value in headers.items()
        ]
        self.method = "POST"
        self.raw_path = "/chat/1"
        self.query = b""
