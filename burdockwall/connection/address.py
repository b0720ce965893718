"""Parse network addresses."""

from burdockwall.types import Address


def split_address(address: Address) -> tuple[str, int]:
    """Split host:port into the host and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
