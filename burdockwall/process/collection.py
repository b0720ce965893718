"""Pause garbage collection while many objects are made that will live on."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def pause_collection() -> Iterator[None]:
    """Make objects without scanning all others again and again meanwhile."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()
