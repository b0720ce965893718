"""Define the messages for state distribution, leases, membership and shards."""

from enum import Enum
from typing import ClassVar

import msgspec

from burdockwall.machine import Message
from burdockwall.process.control.changes import Change, Document
from burdockwall.process.membership.patches import Patch
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
    """Version of a member list, ordered by the leader's term, then by its counter."""

    term: Term = Term(0)
    counter: int = 0


class InstanceDetails(msgspec.Struct, frozen=True, array_like=True):
    """Self-description of one incarnation of an instance."""

    instance: InstanceId
    incarnation: Incarnation
    role: Role
    region: str
    failure_domain: FailureDomain
    peer_address: Address
    caller_address: Address
    name: str = ""


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """One member of the list; its number is not reused within a term."""

    number: MemberNumber
    details: InstanceDetails
    state: EndpointState = EndpointState.LIVE


class Heartbeat(Message, frozen=True, tag="Beat"):
    """Heartbeat of an instance to its relay, with the versions that it has installed.

    `details` are set while the sender's member list lacks this incarnation. Builds that
    know no outlines omit `reads_outlines`.
    """

    incarnation: Incarnation
    sequence: int
    version: Version
    list_version: MemberListVersion
    leaving: bool = False
    details: InstanceDetails | None = None
    reads_outlines: bool = False


class Join(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat, within a report, of an instance that the relay's list lacks."""

    details: InstanceDetails
    version: Version
    leaving: bool = False


class Report(Message, frozen=True):
    """Heartbeats that a relay has collected for the leader.

    Members are named by their numbers in the member list with `list_version`.
    Members in `current` have the same `version` as the relay; `behind` maps the
    others to their versions.
    """

    incarnation: Incarnation
    sequence: int
    version: Version
    list_version: MemberListVersion
    current: list[MemberNumber] = []
    behind: dict[MemberNumber, Version] = {}
    leaving: list[MemberNumber] = []
    joins: list[Join] = []
    reads_outlines: bool = False


class Grant(Message, frozen=True):
    """Lease renewal for every instance whose heartbeat a message carried.

    `sequence` numbers the heartbeat or the report that is answered. The lease is
    valid only on an instance that has installed `version` or a later one. `refused`
    are members of the report that get no lease. `next_heartbeat_ms` tells the child
    of a relay how long to wait before it sends the next heartbeat.
    """

    term: Term
    leader: InstanceId
    incarnation: Incarnation
    sequence: int
    version: Version
    refused: list[MemberNumber] = []
    next_heartbeat_ms: int = 0


class NotLeader(Message, frozen=True):
    """Refusal of a report, with the leader if it is known."""

    leader: InstanceId | None = None


class StateChanges(Message, frozen=True):
    """Changes of the control state after `since`, in order."""

    since: Version
    version: Version
    changes: list[Change]


class StateSnapshot(Message, frozen=True):
    """Complete control state at one version."""

    version: Version
    sections: dict[str, str]
    keys: dict[KeyDigest, CustomerId]
    shards: list[ShardView] = []
    documents: dict[DocumentName, Document] = {}


class AskChanges(Message, frozen=True):
    """Request to send again what follows these versions, since updates are missing."""

    protocol: ClassVar[int] = 3

    incarnation: Incarnation
    version: Version
    list_version: MemberListVersion
    reads_outlines: bool = False


class DocumentOutline(msgspec.Struct, frozen=True, array_like=True):
    """A document's number and digest, and the last patches that yield it, if small."""

    number: int
    digest: bytes
    patches: tuple[Patch, ...] = ()


class ChangesOutline(Message, frozen=True):
    """Changes of the control state after `since`, with outlines of their documents.

    `documents` has the latest of each name; a receiver that can't make one from the
    patches and what it has asks a control instance for it.
    """

    since: Version
    version: Version
    changes: list[Change]
    documents: dict[DocumentName, DocumentOutline] = {}


class SnapshotOutline(Message, frozen=True):
    """Complete control state at one version, with outlines of its documents."""

    version: Version
    sections: dict[str, str]
    keys: dict[KeyDigest, CustomerId]
    shards: list[ShardView] = []
    documents: dict[DocumentName, DocumentOutline] = {}


class OutlineReceived(Message, frozen=True):
    """Confirmation that an outline has arrived, whether or not it is installed yet."""

    incarnation: Incarnation
    version: Version


class AskDocument(Message, frozen=True):
    """Request for a document or a later one of its name.

    `held` is the digest of the document that the sender has, or empty.
    """

    protocol: ClassVar[int] = 4

    name: DocumentName
    number: int
    digest: bytes
    held: bytes = b""


class GiveDocument(Message, frozen=True):
    """Patches that yield a document, in order; the first may need no base."""

    name: DocumentName
    number: int
    patches: tuple[Patch, ...]


class MemberChanges(Message, frozen=True):
    """Changes of the member list after `since`."""

    since: MemberListVersion
    list_version: MemberListVersion
    changed: list[MemberEntry] = []
    removed: list[MemberNumber] = []
    endpoints: dict[EndpointId, EndpointState] = {}


class MemberSnapshot(Message, frozen=True):
    """Complete member list; endpoints that are live are left out."""

    list_version: MemberListVersion
    members: list[MemberEntry]
    endpoints: dict[EndpointId, EndpointState] = {}


class Reachability(Enum):
    """Result of probing an instance."""

    REACHED = "reached"
    SILENT = "silent"


class Probe(Message, frozen=True):
    """Request to check whether the receiver can reach another instance."""

    subject: InstanceId


class ProbeResult(Message, frozen=True):
    """Answer to a probe."""

    subject: InstanceId
    reachability: Reachability


class Ping(Message, frozen=True):
    """Request for a pong, to check that an instance is reachable."""

    nonce: int


class Pong(Message, frozen=True):
    """Answer to a ping."""

    nonce: int


class Release(Message, frozen=True):
    """Request to a primary to stop acting under a view of a shard."""

    term: Term
    shard: ShardId
    number: FencingNumber


class Released(Message, frozen=True):
    """Confirmation that the primary has stopped acting under a view of a shard."""

    term: Term
    shard: ShardId
    number: FencingNumber


class CopyDone(Message, frozen=True):
    """Confirmation by the primary that a joining instance has a complete copy."""

    shard: ShardId
    number: FencingNumber
    instance: InstanceId
