"""Estimate the cost of a request in endpoint seconds, as a distribution.

Made for routes whose requests cost 1 to 30 times as much as each other, and for
customers of which one may declare false sizes: what is learned from a customer weighs
little in what others share, and each customer's own deviation is kept apart.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable

import msgspec

from burdockwall.process.scheduling.policy import Policy
from burdockwall.process.scheduling.request_size import RequestSize
from burdockwall.process.scheduling.token_rates import TokenRates
from burdockwall.types import CustomerId

# Cost of a request of which nothing else is known, and the least cost of any.
BASE_COST_S = 0.02
LEAST_COST_S = 0.0005
MOST_COST_S = 600.0
# Most entries of each table; together they use less than 4 MB.
SIZE_CELLS = 2_000
CUSTOMER_CELLS = 6_000
PROGRAM_CELLS = 2_000
# The knowledge of a cell that no request confirms halves in this time.
HALF_LIFE_S = 600.0
# A sample moves a cell by at most this much of the logarithm of the cost.
STEP_LIMIT = 2.0
# Least weights of a new sample, by table: shared ones change slowly, a program soon.
ROUTE_GAIN = 0.02
SIZE_GAIN = 0.05
CUSTOMER_GAIN = 0.05
PROGRAM_GAIN = 0.2
# Samples after which a cell is trusted by half.
TRUST_SAMPLES = 3.0
# One customer weighs at most as if it sent this share of all requests.
CUSTOMER_SHARE = 0.125
# The deviation of the logarithm of the cost before anything is known.
INITIAL_DEVIATION = 0.5
VARIANCE_GAIN = 0.05
# Requests over which the customers' shares of all requests are counted.
RECENT_REQUESTS = 2_000
NORMAL_QUANTILE_95 = 1.645


class CostEstimate(msgspec.Struct, frozen=True):
    """A log-normal distribution of a cost in seconds."""

    median_s: float
    deviation: float

    @property
    def mean_s(self) -> float:
        """Return the mean, which the tail raises above the median."""
        return self.median_s * math.exp(self.deviation**2 / 2)

    @property
    def high_s(self) -> float:
        """Return the cost that 5 in 100 such requests exceed."""
        return self.median_s * math.exp(self.deviation * NORMAL_QUANTILE_95)


class _Cell(msgspec.Struct):
    """A deviation of the logarithm of the cost, and how many samples support it."""

    offset: float = 0.0
    samples: float = 0.0
    variance: float = INITIAL_DEVIATION**2
    updated_at: float = 0.0

    def read(self, now: float) -> float:
        """Return the offset, less the less the cell is supported."""
        samples = self._count(now)
        return self.offset * (samples / (samples + TRUST_SAMPLES))

    def _count(self, now: float) -> float:
        idle_s = max(0.0, now - self.updated_at)
        return self.samples * math.exp2(-idle_s / HALF_LIFE_S)

    def update(
        self, error: float, least_gain: float, weight: float, now: float
    ) -> None:
        """Move the offset by a sample's error."""
        self.samples = self._count(now) + weight
        self.updated_at = now
        gain = max(least_gain, 1.0 / (self.samples + TRUST_SAMPLES)) * weight
        step = max(-STEP_LIMIT, min(STEP_LIMIT, error))
        self.offset += gain * step
        self.variance += VARIANCE_GAIN * weight * (step**2 - self.variance)


class _Table:
    """Cells by key, of which the least recently used are dropped over a limit."""

    def __init__(self, limit: int, least_gain: float) -> None:
        self.limit = limit
        self.least_gain = least_gain
        self.cells: OrderedDict[Hashable, _Cell] = OrderedDict()

    def find(self, key: Hashable) -> _Cell | None:
        """Return a cell, or None."""
        return self.cells.get(key)

    def get(self, key: Hashable) -> _Cell:
        """Return a cell, which is created if necessary."""
        cell = self.cells.get(key)
        if cell is None:
            cell = self.cells[key] = _Cell()
            if len(self.cells) > self.limit:
                self.cells.popitem(last=False)
        self.cells.move_to_end(key)
        return cell


class CostEstimator:
    """Learns costs by route, size, customer and program from finished requests.

    The logarithm of a cost is that of the size's usual cost, which follows from the
    rates of tokens, plus one offset of each level. All offsets learn from one error.
    """

    def __init__(self, policy: Policy) -> None:
        self.rates = TokenRates(policy, BASE_COST_S)
        self._routes = _Table(SIZE_CELLS, ROUTE_GAIN)
        self._sizes = _Table(SIZE_CELLS, SIZE_GAIN)
        self._customers = _Table(CUSTOMER_CELLS, CUSTOMER_GAIN)
        self._programs = _Table(PROGRAM_CELLS, PROGRAM_GAIN)
        self._recent: dict[CustomerId, float] = {}
        self._recent_total = 0.0

    def estimate(
        self, size: RequestSize, now: float, cached_tokens: float = 0.0
    ) -> CostEstimate:
        """Estimate the cost of a request where some of its prompt is cached."""
        usual_s = self._compute_usual_s(size, cached_tokens)
        offset, variance = 0.0, INITIAL_DEVIATION**2
        for table, key in self._list_keys(size):
            cell = table.find(key)
            if cell is None:
                continue
            offset += cell.read(now)
            trust = cell.samples / (cell.samples + TRUST_SAMPLES)
            variance += (cell.variance - variance) * trust
        median_s = usual_s * math.exp(offset)
        median_s = max(LEAST_COST_S, min(MOST_COST_S, median_s))
        return CostEstimate(median_s, math.sqrt(variance))

    def _compute_usual_s(self, size: RequestSize, cached_tokens: float) -> float:
        if not size.on_engine:
            return BASE_COST_S
        read_tokens = max(0.0, size.prompt_tokens - cached_tokens)
        return self.rates.estimate_s(read_tokens, size.written_tokens)

    def _list_keys(self, size: RequestSize) -> list[tuple[_Table, Hashable]]:
        levels: list[tuple[_Table, Hashable]] = [
            (self._routes, size.route),
            (self._sizes, (size.route, size.is_declared, size.size_class)),
            (self._customers, (size.customer, size.route)),
        ]
        if size.program:
            levels.append((self._programs, (size.program, size.route)))
        return levels

    def record(
        self, size: RequestSize, cost_s: float, cached_tokens: float, now: float
    ) -> float:
        """Learn from a request that has finished, and return the estimate's error.

        The error is the logarithm of the cost over the estimated median.
        """
        cost_s = max(LEAST_COST_S, min(MOST_COST_S, cost_s))
        if size.on_engine:
            self._learn_rates(size, cost_s, cached_tokens, now)
        estimate = self.estimate(size, now, cached_tokens)
        error = math.log(cost_s / estimate.median_s)
        weight = self._weigh_customer(size.customer)
        for table, key in self._list_keys(size):
            is_shared = table is self._routes or table is self._sizes
            cell = table.get(key)
            cell.update(error, table.least_gain, weight if is_shared else 1.0, now)
        return error

    def _learn_rates(
        self, size: RequestSize, cost_s: float, cached_tokens: float, now: float
    ) -> None:
        """Learn what tokens cost, from the part of a cost that no offset explains."""
        usual_s = self._compute_usual_s(size, cached_tokens)
        offset = math.log(self.estimate(size, now, cached_tokens).median_s / usual_s)
        read_tokens = max(0.0, size.prompt_tokens - cached_tokens)
        usual_cost_s = cost_s / math.exp(offset)
        self.rates.learn(read_tokens, size.written_tokens, usual_cost_s)

    def _weigh_customer(self, customer: CustomerId) -> float:
        """Count a request, and return its weight in what all customers share."""
        if self._recent_total >= RECENT_REQUESTS:
            halves = {name: count / 2 for name, count in self._recent.items()}
            self._recent = {name: count for name, count in halves.items() if count >= 1}
            self._recent_total = sum(self._recent.values())
        count = self._recent.get(customer, 0.0) + 1.0
        self._recent[customer] = count
        self._recent_total += 1.0
        return min(1.0, CUSTOMER_SHARE * self._recent_total / count)
