"""Define the page that shows operators the fleet as the leader sees it."""

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
    """One instance; its lease expires in at most `lease_s` seconds."""

    instance: InstanceId
    role: Role
    region: str
    failure_domain: FailureDomain
    state: EndpointState
    version: Version
    lease_s: float
    silent_s: float


class ShardHealth(msgspec.Struct, frozen=True):
    """Number of shards by replication state.

    Shards in `whole` have all backups. Shards in `waiting` have no primary that may
    act. Shards in `emptied` lost every copy and were restarted empty.
    """

    assigned: int = 0
    whole: int = 0
    joining: int = 0
    waiting: int = 0
    emptied: int = 0
    failure_domains: int = 0


class FleetPage(msgspec.Struct, frozen=True):
    """The fleet as the leader sees it; empty on other instances."""

    leading: bool
    term: Term
    leader: InstanceId | None = None
    instances: list[FleetRow] = []
    shards: ShardHealth = ShardHealth()


def describe_member(record: MemberRecord, now: float) -> FleetRow:
    """Build the row of a member."""
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
