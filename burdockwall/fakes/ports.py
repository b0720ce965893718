"""Find free ports of the loopback interface."""

import socket

from burdockwall.types import Address


def find_address() -> Address:
    """Return a loopback address whose port was free just now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{probe.getsockname()[1]}")
