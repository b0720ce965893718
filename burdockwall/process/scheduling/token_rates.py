"""Learn how long engines take to read a token of a prompt and to write one.

Made for instances that have just started, beside engines of unknown speed: a handful of
answers replaces rates that are wrong by a factor of 30. It is a Kalman filter of three
costs: that of any request, of a token read and of a token written.
"""

from burdockwall.process.scheduling.policy import Policy

# The deviation of each cost before any answer, as a share of the cost assumed.
INITIAL_DEVIATION = 1.0
# The deviation of a request's time from what its tokens tell, as a share of that time.
SAMPLE_DEVIATION = 0.3
# How much each cost may change between two answers, as a share of it.
DRIFT = 0.02
# Least cost, as a share of that which the policy gives.
LEAST_SHARE = 0.001
# Of a sample far from what is known, only this many deviations count.
OUTLIER_LIMIT = 3.0
LEAST_TIME_S = 0.0005

Vector = list[float]


class TokenRates:
    """The seconds that a request, a token read and a token written cost an engine."""

    def __init__(self, policy: Policy, base_s: float) -> None:
        self.costs: Vector = [base_s, policy.prefill_token_s, policy.output_token_s]
        self._least = [LEAST_SHARE * cost for cost in self.costs]
        self._covariance = [
            [
                (INITIAL_DEVIATION * cost) ** 2 if row == column else 0.0
                for column in range(3)
            ]
            for row, cost in enumerate(self.costs)
        ]

    @property
    def read_token_s(self) -> float:
        """Return the seconds that a token of a prompt costs that is not cached."""
        return self.costs[1]

    def estimate_s(self, read_tokens: float, written_tokens: float) -> float:
        """Return the cost of a request of so many tokens."""
        base_s, read_s, written_s = self.costs
        return base_s + read_tokens * read_s + written_tokens * written_s

    def learn(self, read_tokens: float, written_tokens: float, cost_s: float) -> None:
        """Learn from the cost of a finished request."""
        tokens = (1.0, read_tokens, written_tokens)
        expected_s = self.estimate_s(read_tokens, written_tokens)
        covariance = self._covariance
        for index, cost in enumerate(self.costs):
            covariance[index][index] += (DRIFT * cost) ** 2
        shared = [
            sum(row[column] * tokens[column] for column in range(3))
            for row in covariance
        ]
        noise_s = SAMPLE_DEVIATION * max(LEAST_TIME_S, min(cost_s, expected_s))
        variance = sum(shared[index] * tokens[index] for index in range(3)) + noise_s**2
        limit_s = OUTLIER_LIMIT * variance**0.5
        error_s = max(-limit_s, min(limit_s, cost_s - expected_s))
        gains = [value / variance for value in shared]
        for row in range(3):
            learned = self.costs[row] + gains[row] * error_s
            self.costs[row] = max(self._least[row], learned)
            for column in range(3):
                covariance[row][column] -= gains[row] * shared[column]
