"""Add up and bound what a program and its sub-agents may spend."""

import msgspec


class Spend(msgspec.Struct, frozen=True, array_like=True):
    """An amount of generated tokens, calls and cost in the routes' unit."""

    tokens: int = 0
    calls: int = 0
    cost: float = 0.0

    def add(self, other: "Spend") -> "Spend":
        """Return the sum of two spends."""
        return Spend(
            self.tokens + other.tokens,
            self.calls + other.calls,
            self.cost + other.cost,
        )


class Budget(msgspec.Struct, frozen=True, array_like=True):
    """Upper bounds on the spend and time in seconds of a program and its sub-agents."""

    tokens: int = 1_000_000
    calls: int = 2000
    cost: float = 1_000_000.0
    time_s: float = 86_400.0

    def admits(self, spend: Spend) -> bool:
        """Return whether a spend stays within the budget."""
        return (
            spend.tokens <= self.tokens
            and spend.calls <= self.calls
            and spend.cost <= self.cost
        )
