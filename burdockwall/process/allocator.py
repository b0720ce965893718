"""Make the C library return the memory of large buffers to the system."""

import ctypes

# The parameter's number in glibc's malloc.h.
MMAP_THRESHOLD = -3
LARGE_BYTES = 524_288


def return_large_buffers() -> None:
    """Allocate large buffers apart, so that each is returned once it is released.

    By itself glibc raises the size from which it does so to that of the largest buffer
    that was released, up to 32 MiB. Other C libraries are left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(MMAP_THRESHOLD, LARGE_BYTES)
