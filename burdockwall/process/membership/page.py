"""Describe the fleet to operators as the leader sees it."""

import msgspec

from burdockwall.process.membership.records import MemberRecord
from burdockwall.types import (
    EndpointState,
    FailureDomain,
    InstanceId,
    Role,
    Term,
    Version,
)


class FleetRow(msgspec.Struct, frozen=True):
    """Describe one instance; its lease has ended in at most `lease_s`."""

    instance: InstanceId
    role: Role
    region: str
    failure_domain: FailureDomain
    state: EndpointState
    version: Version
    lease_s: float
    silent_s: float


class ShardHealth(msgspec.Struct, frozen=True):
    """Count the shards by what protects them.

    `whole` have every backup, `waiting` have no primary that may act, `emptied`
    lost every copy and began anew.
    """

    assigned: int = 0
    whole: int = 0
    joining: int = 0
    waiting: int = 0
    emptied: int = 0
    failure_domains: int = 0


class FleetPage(msgspec.Struct, frozen=True):
    """Describe the fleet as the leader sees it; empty on other instances."""

    leading: bool
    term: Term
    leader: InstanceId | None = None
    instances: list[FleetRow] = []
    shards: ShardHealth = ShardHealth()


def describe_member(record: MemberRecord, now: float) -> FleetRow:
    """Describe one member."""
    return FleetRow(
        instance=record.details.instance,
        role=record.details.role,
        region=record.details.region,
        failure_domain=record.details.failure_domain,
        state=record.state,
        version=record.version,
        lease_s=max(0.0, record.lease_expires_at - now),
        silent_s=now - record.last_heartbeat_at,
    )
