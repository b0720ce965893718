"""What a process does about garbage and signals during startup."""

import gc

from burdockwall.process.early_signals import keep_signals


def begin_startup() -> None:
    """Keep signals, and collect no garbage, until the process runs."""
    keep_signals()
    pause_collection()


def pause_collection() -> None:
    """Disable garbage collection until resume_collection()."""
    gc.disable()


def resume_collection() -> None:
    """Enable garbage collection, but never scan the objects that exist now.

    They live as long as the process, so that scanning them only costs time.
    """
    gc.freeze()
    gc.enable()
