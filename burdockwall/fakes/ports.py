"""Find free ports of the loopback interface."""

import os
import random
import socket

from burdockwall.types import Address

# These are below the ephemeral ports of the system, so that no outgoing connection
# takes a port before its server listens.
PORTS = range(10_000, 32_000)
# Processes that run at the same time draw different ports.
_generator = random.Random(os.getpid())
# Open sockets that reserve the ports of this process against other processes, also
# before a server listens.
_reservations: list[socket.socket] = []


def _reserve(port: int) -> bool:
    """Reserve a port against other processes, and return whether that succeeded.

    The reservation is an abstract socket that is named after the port.
    """
    reservation = socket.socket(socket.AF_UNIX)
    try:
        reservation.bind(f"\0burdockwall-port-{port}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


def find_address() -> Address:
    """Return a loopback address with a free port, and reserve the port."""
    while True:
        port = _generator.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            if _reserve(port):
                return Address(f"127.0.0.1:{port}")
