"""The reports of engines: load, and changes of their prefix cache."""

from enum import Enum
from typing import NewType

import msgspec

from burdockwall.connection.json_text import Count

CacheKey = NewType("CacheKey", str)


class LoadReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """An endpoint's load in calls; `capacity` is 0 if it is unknown."""

    sequence: Count
    running: Count
    waiting: Count
    capacity: Count = 0
    memory_share: float = 0.0


class CacheChange(Enum):
    """What happened to a cached prefix, or to the whole cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change of an engine's prefix cache, numbered without gaps."""

    sequence: Count
    change: CacheChange
    key: CacheKey = CacheKey("")
    tokens: int = 0


class CachePage(msgspec.Struct, frozen=True):
    """Cache events in the order of their sequence numbers."""

    events: list[CacheEvent]
