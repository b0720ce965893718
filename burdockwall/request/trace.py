"""Keep what is known of one request for its log line and metrics."""

from dataclasses import dataclass


@dataclass(slots=True)
class RequestTrace:
    """Hold what is known of one request; times are of the process's clock."""

    request: str
    started_at: float
    customer: str = ""
    program: str = ""
    route: str = ""
    endpoint: str = ""
    first_byte_at: float | None = None
    code: int = 0
