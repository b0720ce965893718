"""Take addresses apart."""

from burdockwall.types import Address


def split_address(address: Address) -> tuple[str, int]:
    """Split host:port into its parts."""
    host, _, port = address.rpartition(":")
    return host, int(port)
