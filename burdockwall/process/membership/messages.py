"""Define the messages of distribution, leases, membership and shard hand-over."""

from enum import Enum

import msgspec

from burdockwall.machine import Message
from burdockwall.process.control.changes import Change, Document
from burdockwall.types import (
    Address,
    CustomerId,
    DocumentName,
    EndpointId,
    EndpointState,
    FailureDomain,
    FencingNumber,
    Incarnation,
    InstanceId,
    KeyDigest,
    MemberNumber,
    Role,
    ShardId,
    Term,
    Version,
)
from burdockwall.version.shards import ShardView


class MemberListVersion(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Order member lists: by the term of their leader, then by its counter."""

    term: Term = Term(0)
    counter: int = 0


class InstanceDetails(msgspec.Struct, frozen=True, array_like=True):
    """Describe one incarnation of an instance as it describes itself."""

    instance: InstanceId
    incarnation: Incarnation
    role: Role
    region: str
    failure_domain: FailureDomain
    peer_address: Address
    caller_address: Address
    name: str = ""


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """Hold one member; its number is never given to another in the same term."""

    number: MemberNumber
    details: InstanceDetails
    state: EndpointState = EndpointState.LIVE


class Heartbeat(Message, frozen=True, tag="Beat"):
    """Report to a relay what this instance runs.

    `details` come while the sender's member list lacks this incarnation.
    """

    incarnation: Incarnation
    sequence: int
    version: Version
    list_version: MemberListVersion
    leaving: bool = False
    details: InstanceDetails | None = None


class Join(msgspec.Struct, frozen=True, array_like=True):
    """Report an instance that the relay's member list lacks."""

    details: InstanceDetails
    version: Version
    leaving: bool = False


class Report(Message, frozen=True):
    """Report to the leader the heartbeats that a relay has collected.

    Numbers are those of the member list with `stamp`. `current` run the relay's
    own version, `behind` another one.
    """

    incarnation: Incarnation
    sequence: int
    version: Version
    list_version: MemberListVersion
    current: list[MemberNumber] = []
    behind: dict[MemberNumber, Version] = {}
    leaving: list[MemberNumber] = []
    joins: list[Join] = []


class Grant(Message, frozen=True):
    """Renew the lease of all whose heartbeats the numbered message carried.

    The lease holds only where `version` or a later one is in force. `refused`
    are members of the report that get no lease. `next_ms` is the time until the
    child of a relay should send again.
    """

    term: Term
    leader: InstanceId
    incarnation: Incarnation
    sequence: int
    version: Version
    refused: list[MemberNumber] = []
    next_heartbeat_ms: int = 0


class NotLeader(Message, frozen=True):
    """Refuse a report and name the leader where it is known."""

    leader: InstanceId | None = None


class StateChanges(Message, frozen=True):
    """Carry what the versions after `since` changed, in order."""

    since: Version
    version: Version
    changes: list[Change]


class StateSnapshot(Message, frozen=True):
    """Carry one whole version: configuration sections, key digests, shards."""

    version: Version
    sections: dict[str, str]
    keys: dict[KeyDigest, CustomerId]
    shards: list[ShardView] = []
    documents: dict[DocumentName, Document] = {}


class MemberChanges(Message, frozen=True):
    """Carry what the member lists after `since` changed."""

    since: MemberListVersion
    list_version: MemberListVersion
    changed: list[MemberEntry] = []
    removed: list[MemberNumber] = []
    endpoints: dict[EndpointId, EndpointState] = {}


class MemberSnapshot(Message, frozen=True):
    """Carry one whole member list; endpoints that are live are left out."""

    list_version: MemberListVersion
    members: list[MemberEntry]
    endpoints: dict[EndpointId, EndpointState] = {}


class Reachability(Enum):
    """Name what a witness found out about an instance."""

    REACHED = "reached"
    SILENT = "silent"


class Probe(Message, frozen=True):
    """Ask a witness whether it can reach an instance."""

    subject: InstanceId


class ProbeResult(Message, frozen=True):
    """Answer a probe."""

    subject: InstanceId
    reachability: Reachability


class Ping(Message, frozen=True):
    """Ask an instance to show that it hears and answers."""

    nonce: int


class Pong(Message, frozen=True):
    """Answer a ping."""

    nonce: int


class Release(Message, frozen=True):
    """Ask a primary to stop acting under a view of a shard."""

    term: Term
    shard: ShardId
    number: FencingNumber


class Released(Message, frozen=True):
    """Confirm that the primary has stopped acting under a view of a shard."""

    term: Term
    shard: ShardId
    number: FencingNumber


class CopyDone(Message, frozen=True):
    """Confirm, as primary, that a joining instance holds the whole shard."""

    shard: ShardId
    number: FencingNumber
    instance: InstanceId
