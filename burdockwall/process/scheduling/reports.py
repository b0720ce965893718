"""Define what engines report: load, and changes of their prefix cache."""

from enum import Enum
from typing import NewType

import msgspec

from burdockwall.types import EndpointId

CacheKey = NewType("CacheKey", str)


class LoadReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """State an endpoint's load in calls; `capacity` is 0 where it is unknown."""

    sequence: int
    running: int
    waiting: int
    capacity: int = 0
    memory_share: float = 0.0


class CacheChange(Enum):
    """Name what became of a prefix."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """State one change of an engine's prefix cache, numbered without gaps."""

    sequence: int
    change: CacheChange
    key: CacheKey = CacheKey("")
    tokens: int = 0


class CachePage(msgspec.Struct, frozen=True):
    """Hold cache events in the order of their numbers."""

    events: list[CacheEvent]


class EndpointLoad(msgspec.Struct, frozen=True):
    """Join a load report to the endpoint it came from."""

    endpoint: EndpointId
    report: LoadReport
