"""Play programs of a customer that asks for more than its rate for a while."""

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockwall.process.limits.returning import ReturnTimes
from burdockwall.types import CustomerId
from features.subjects.standing import create_limit

CUSTOMER = CustomerId("c")
INSTANCES = 9
RATE = 18
CALM_SHARE = 0.7
PRESS_AT_S, END_S = 5.0, 20.0
# A request is admitted if its units come in within this time.
HOLD_S = 0.36
RUN_S = 0.35
SAME_S = (0.36, 0.54)
ATTEMPTS, SENDINGS = 2, 3
RESEND_S = (0.1, 0.4)


@dataclass(order=True, slots=True)
class Asking:
    """Hold the next request of a program."""

    at: float
    number: int
    done: int = field(compare=False, default=0)
    attempt: int = field(compare=False, default=1)
    sending: int = field(compare=False, default=1)


class PressedCustomer:
    """Count the programs that are lost."""

    def __init__(self, requests: int, times: float, for_s: float) -> None:
        self.requests = requests
        self.times = times
        self.for_s = for_s

    def measure(self, seeds: Iterable[int], own_times: bool) -> float:
        """Return the share of programs that are lost, over all seeds."""
        lost = begun = 0
        for seed in seeds:
            play = _Play(self, random.Random(seed), own_times)
            play.run()
            lost += play.lost
            begun += play.begun
        return lost / begun


class _Play:
    def __init__(
        self, pressed: PressedCustomer, chance: random.Random, own_times: bool
    ) -> None:
        self.pressed = pressed
        self.chance = chance
        self.own_times = own_times
        self.limit = create_limit(RATE, RATE)
        self.returns = [ReturnTimes() for _ in range(INSTANCES)]
        self.level, self.at = 0.3 * RATE, 0.0
        self.lost = self.begun = 0
        self._due: list[Asking] = []

    def run(self) -> None:
        now = 0.0
        while now < END_S:
            presses = 0.0 <= now - PRESS_AT_S < self.pressed.for_s
            share = self.pressed.times if presses else CALM_SHARE
            now += self.chance.expovariate(share * RATE / self.pressed.requests)
            heapq.heappush(self._due, Asking(now, self.begun))
            self.begun += 1
        while self._due:
            self._ask(heapq.heappop(self._due))

    def _ask(self, asking: Asking) -> None:
        wait_s = self._admit(asking.at)
        if wait_s is None:
            self._refuse(asking)
            return
        asking.done += 1
        asking.attempt = asking.sending = 1
        if asking.done < self.pressed.requests:
            asking.at += wait_s + RUN_S
            heapq.heappush(self._due, asking)

    def _admit(self, now: float) -> float | None:
        self.level = min(RATE, self.level + (now - self.at) * RATE)
        self.at = now
        wait_s = max(0.0, (1.0 - self.level) / RATE)
        if wait_s > HOLD_S:
            return None
        self.level -= 1.0
        return wait_s

    def _refuse(self, asking: Asking) -> None:
        returns = self.returns[self.chance.randrange(INSTANCES)]
        told_s = self.chance.uniform(*SAME_S)
        if self.own_times:
            told_s = returns.choose(CUSTOMER, self.limit, INSTANCES, asking.at)
        if asking.attempt < ATTEMPTS:
            asking.attempt += 1
            asking.at += told_s
        elif asking.sending < SENDINGS:
            asking.sending += 1
            asking.attempt = 1
            asking.at += self.chance.uniform(*RESEND_S)
        else:
            self.lost += 1
            return
        heapq.heappush(self._due, asking)
