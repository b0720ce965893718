"""Keep the garbage collector from what lives as long as the process."""

import gc


def pause_collection() -> None:
    """Collect no garbage until resume_collection()."""
    gc.disable()


def resume_collection() -> None:
    """Collect garbage again, but leave alone what exists by now."""
    gc.freeze()
    gc.enable()
