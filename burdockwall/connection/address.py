"""Parse network addresses."""

import functools
import ipaddress
import re

from burdockwall.types import Address

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535
# A list of endpoints has the same addresses at each reading.
MAX_CACHED = 8192


class AddressUnreadable(OSError):
    """An address is no host and port, so no connection to it can be opened."""


def split_address(address: Address) -> tuple[str, int]:
    """Split host:port into the host and the port number, or raise AddressUnreadable."""
    host, _, port = address.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise AddressUnreadable(f"{address!r} has no port number")
    if not _is_host(host):
        raise AddressUnreadable(f"{address!r} has no host")
    return host, int(port)


def _is_host(text: str) -> bool:
    """Return whether a text can be looked up; an empty one means every interface."""
    if not text.isascii() or not text.isprintable():
        return False
    try:
        text.encode("idna")
    except UnicodeError:
        return False
    return True


@functools.lru_cache(maxsize=MAX_CACHED)
def read_ip_address(text: str) -> Address | None:
    """Return a text if it is an IP address and a port, else None."""
    try:
        host, port = split_address(Address(text))
        ipaddress.ip_address(host)
    except (AddressUnreadable, ValueError):
        return None
    return Address(text) if port else None
