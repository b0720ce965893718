"""Learn how much longer a request takes in a full endpoint than alone.

Made for engines, which run their requests in one batch and read prompts between the
tokens of others, and for plain services, whose requests hardly slow each other.
"""

# Until it is known: the engine of burdockwall/fakes/engine_model.py takes 9 in 100
# longer for a step of 8 sequences than of one, and reads prompts between the steps.
INITIAL_SLOWDOWN = 0.2
SLOWDOWN_LIMITS = (0.0, 3.0)
SLOWDOWN_GAIN = 0.02
MEAN_GAIN = 0.02
ERROR_LIMIT = 1.0


class Slowdown:
    """The share by which a request takes longer where all slots are used."""

    def __init__(self) -> None:
        self.at_full = INITIAL_SLOWDOWN
        self._mean_occupancy = 0.5

    def compute(self, occupancy: float) -> float:
        """Return how many times as long a request takes at an occupancy."""
        return 1.0 + self.at_full * min(1.0, max(0.0, occupancy))

    def learn(self, occupancy: float, error: float) -> None:
        """Learn from the error of a request's cost, as a logarithm.

        Only what differs with the occupancy counts here.
        """
        occupancy = min(1.0, max(0.0, occupancy))
        self._mean_occupancy += (occupancy - self._mean_occupancy) * MEAN_GAIN
        step = max(-ERROR_LIMIT, min(ERROR_LIMIT, error))
        self.at_full += SLOWDOWN_GAIN * step * (occupancy - self._mean_occupancy)
        low, high = SLOWDOWN_LIMITS
        self.at_full = max(low, min(high, self.at_full))
