"""Find free ports of the loopback interface."""

import os
import random
import socket

from burdockwall.types import Address

# Below the ports that the system hands to outgoing connections, so that none of
# those takes the port before its server listens.
PORTS = range(10_000, 32_000)
# Processes that run at a time begin at different places.
_chance = random.Random(os.getpid())
# A port found here is not found by another process, also before it is listened at.
_reserved: list[socket.socket] = []


def _reserve(port: int) -> bool:
    """Take a name that no other process has while this one lives."""
    name = socket.socket(socket.AF_UNIX)
    try:
        name.bind(f"\0burdockwall-port-{port}")
    except OSError:
        name.close()
        return False
    _reserved.append(name)
    return True


def find_address() -> Address:
    """Return a loopback address whose port was free just now."""
    while True:
        port = _chance.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            if _reserve(port):
                return Address(f"127.0.0.1:{port}")
