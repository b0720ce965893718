"""Control of the garbage collector during startup."""

import gc


def pause_collection() -> None:
    """Disable garbage collection until resume_collection()."""
    gc.disable()


def resume_collection() -> None:
    """Enable garbage collection, but never scan the objects that exist now.

    They live as long as the process, so that scanning them only costs time.
    """
    gc.freeze()
    gc.enable()
