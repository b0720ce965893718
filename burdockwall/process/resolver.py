"""Tell callers which addresses to use, nearest failure domain first."""

import hashlib
from dataclasses import dataclass

import msgspec

from burdockwall.types import Address, EndpointState, FailureDomain, InstanceId

ADDRESSES_LIMIT = 3


@dataclass(frozen=True, slots=True)
class EntryInstance:
    """Describe an entry instance that callers may use."""

    instance: InstanceId
    address: Address
    failure_domain: FailureDomain
    state: EndpointState = EndpointState.LIVE
    region: str = ""


class ResolvedAddress(msgspec.Struct, frozen=True):
    """Give one address and the failure domain that it is in."""

    address: Address
    failure_domain: FailureDomain


class Resolution(msgspec.Struct, frozen=True):
    """Give addresses in the order to try them, and how long to keep them."""

    addresses: list[ResolvedAddress]
    ttl_s: float


def _hash_for_caller(caller: str, member: EntryInstance) -> str:
    return hashlib.sha256(f"{caller}|{member.instance}".encode()).hexdigest()


def resolve_addresses(
    members: list[EntryInstance], near: FailureDomain, caller: str, ttl_s: float
) -> Resolution:
    """Choose addresses for a caller; callers spread evenly over equal ones.

    The caller's failure domain comes first, then others of its region. A leaving
    instance is not given out; a suspected one only where none is live.
    """
    live = [item for item in members if item.state is EndpointState.LIVE]
    if not live:
        suspected = EndpointState.SUSPECTED
        live = [item for item in members if item.state is suspected]
    regions = {item.region for item in members if item.failure_domain == near}
    order = sorted(
        live,
        key=lambda item: (
            item.failure_domain != near,
            item.region not in regions,
            _hash_for_caller(caller, item),
        ),
    )
    addresses = [
        ResolvedAddress(item.address, item.failure_domain)
        for item in order[:ADDRESSES_LIMIT]
    ]
    return Resolution(addresses, ttl_s)
