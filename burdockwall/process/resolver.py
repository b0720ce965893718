"""The addresses that callers should use, those in the nearest failure domain first."""

import hashlib
from collections.abc import Iterable

import msgspec

from burdockwall.types import Address, EndpointState, FailureDomain, InstanceId

ADDRESSES_LIMIT = 3
# A directory answer has at least this many addresses, so that a caller whose failure
# domain has few instances has others to try.
DIRECTORY_MIN_ADDRESSES = 3
DIRECTORY_MAX_ADDRESSES = 64


class EntryInstance(msgspec.Struct, frozen=True):
    """An entry instance that callers may use."""

    instance: InstanceId
    address: Address
    failure_domain: FailureDomain
    state: EndpointState = EndpointState.LIVE
    region: str = ""


class ResolvedAddress(msgspec.Struct, frozen=True):
    """An address and its failure domain."""

    address: Address
    failure_domain: FailureDomain


class Resolution(msgspec.Struct, frozen=True):
    """Addresses in the order to try them, and the time to cache them in seconds."""

    addresses: list[ResolvedAddress]
    ttl_s: float


def _hash_for_caller(caller: str, member: EntryInstance) -> str:
    return hashlib.sha256(f"{caller}|{member.instance}".encode()).hexdigest()


def resolve_addresses(
    members: list[EntryInstance],
    preferred_domain: FailureDomain,
    caller: str,
    ttl_s: float,
) -> Resolution:
    """Choose addresses for a caller; callers spread evenly over equally near ones.

    Those in the preferred failure domain come first, then others of its region. Leaving
    instances are not given out; suspected ones only if none is live.
    """
    order = _sort_by_distance(members, preferred_domain, caller)
    return _build_resolution(order[:ADDRESSES_LIMIT], ttl_s)


def resolve_domain(
    members: list[EntryInstance], preferred_domain: FailureDomain, ttl_s: float
) -> Resolution:
    """List every instance of a failure domain, for callers that choose at random.

    Made for dozens of instances in a failure domain: given only some of them, all
    callers of the domain would share these and leave the others idle.
    """
    order = _sort_by_distance(members, preferred_domain, "")
    near = [item for item in order if item.failure_domain == preferred_domain]
    count = max(DIRECTORY_MIN_ADDRESSES, len(near))
    return _build_resolution(order[: min(count, DIRECTORY_MAX_ADDRESSES)], ttl_s)


def _sort_by_distance(
    members: list[EntryInstance], preferred_domain: FailureDomain, caller: str
) -> list[EntryInstance]:
    live = [item for item in members if item.state is EndpointState.LIVE]
    if not live:
        suspected = EndpointState.SUSPECTED
        live = [item for item in members if item.state is suspected]
    regions = {
        item.region for item in members if item.failure_domain == preferred_domain
    }
    return sorted(
        live,
        key=lambda item: (
            item.failure_domain != preferred_domain,
            item.region not in regions,
            _hash_for_caller(caller, item),
        ),
    )


def _build_resolution(members: Iterable[EntryInstance], ttl_s: float) -> Resolution:
    addresses = [ResolvedAddress(item.address, item.failure_domain) for item in members]
    return Resolution(addresses, ttl_s)
