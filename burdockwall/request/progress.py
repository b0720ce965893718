"""The state of one forwarded request across its attempts, and how attempts fail."""

import msgspec


class NotRun(Exception):
    """The endpoint provably did not run the request."""


class AnswerLost(Exception):
    """The request may have run, but its answer did not arrive completely.

    `closed` is true if the endpoint closed the connection.
    """

    def __init__(self, detail: str, closed: bool) -> None:
        super().__init__(detail)
        self.closed = closed


class Progress(msgspec.Struct):
    """The state of a request across its attempts.

    `runs` counts the attempts that may have run, and `refusals` those that provably did
    not. `settled` is true once the outcome of the turn is stored.
    """

    runs: int = 0
    refusals: int = 0
    tokens: int = 0
    settled: bool = False
    last_failure: str = ""
