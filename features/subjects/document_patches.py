"""Documents that are patched, damaged on their way and asked for."""

import random

import msgspec

from burdockwall.fakes.thin_fleet import RouteTable
from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.control.changes import Change, Document
from burdockwall.process.membership.agent import Agent
from burdockwall.process.membership.document_requests import DocumentAnswers
from burdockwall.process.membership.documents import DocumentPatches
from burdockwall.process.membership.messages import (
    AskDocument,
    ChangesOutline,
    DocumentOutline,
    GiveDocument,
    InstanceDetails,
    SnapshotOutline,
)
from burdockwall.process.membership.patches import (
    Patch,
    apply_patch,
    compute_digest,
    create_patch,
)
from burdockwall.process.membership.pending import PendingOutlines
from burdockwall.process.membership.replica import StateReplica
from burdockwall.types import (
    Address,
    DocumentName,
    FailureDomain,
    Incarnation,
    InstanceId,
    Role,
    Version,
)

NAME = DocumentName("deployment")
CONTROL = InstanceId("control-1")
RELAY = InstanceId("relay")
FIRST, SECOND = b"first" * 3000, b"first" * 1500 + b"second" + b"first" * 1500
LARGE_BYTES = 10**9


def draw_pair(seed: int, most: int) -> tuple[bytes, bytes]:
    """Draw a document, and one made from parts of it."""
    generator = random.Random(seed)
    earlier = generator.randbytes(generator.randrange(most))
    parts = []
    for _ in range(generator.randrange(6)):
        start = generator.randrange(len(earlier) + 1)
        parts.append(earlier[start : start + generator.randrange(most // 4)])
        parts.append(generator.randbytes(generator.randrange(50)))
    return earlier, b"".join(parts)


class PatchedInstance:
    """An entry instance that has the first version of a document."""

    def __init__(self) -> None:
        details = InstanceDetails(
            InstanceId("entry"),
            Incarnation(1),
            Role.ENTRY,
            "region",
            FailureDomain("a"),
            Address("10.0.0.1:1"),
            Address("10.0.0.1:2"),
        )
        self.agent = Agent(details, [CONTROL])
        self.now = 0.0
        self.asked: list[AskDocument] = []
        whole = create_patch(b"", FIRST)
        outline = DocumentOutline(10, whole.digest, (whole,))
        self.receive(SnapshotOutline(Version(1), {}, {}, [], {NAME: outline}))

    @property
    def data(self) -> bytes:
        return self.agent.replica.documents[NAME].data

    def receive(self, message) -> None:
        self._record(self.agent.handle(Receive(RELAY, message), self.now))

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self._record(self.agent.handle(Tick(), self.now))

    def _record(self, actions) -> None:
        self.asked += [
            action.message
            for action in actions
            if isinstance(action, Send) and isinstance(action.message, AskDocument)
        ]

    def receive_damaged(self, damage: str) -> None:
        patch = damage_patch(create_patch(FIRST, SECOND), damage)
        outline = DocumentOutline(11, compute_digest(SECOND), (patch,))
        changes = [Change(Version(2))]
        self.receive(ChangesOutline(Version(1), Version(2), changes, {NAME: outline}))
        self.wait(0.1)

    def receive_second(self) -> None:
        self.receive(GiveDocument(NAME, 11, (create_patch(b"", SECOND),)))

    def import_earlier(self) -> None:
        whole = create_patch(b"", SECOND)
        outline = DocumentOutline(3, whole.digest, (whole,))
        self.receive(SnapshotOutline(Version(2), {}, {}, [], {NAME: outline}))


def damage_patch(patch: Patch, damage: str) -> Patch:
    match damage:
        case "with a byte changed":
            middle = len(patch.data) // 2
            changed = bytes([patch.data[middle] ^ 1])
            data = patch.data[:middle] + changed + patch.data[middle + 1 :]
            return msgspec.structs.replace(patch, data=data)
        case "that is cut short":
            return msgspec.structs.replace(patch, data=patch.data[:-9])
        case "that yields another document":
            other = create_patch(FIRST, SECOND + b"more")
            return msgspec.structs.replace(other, digest=patch.digest)
        case "that is said to be of 1 GB":
            return msgspec.structs.replace(patch, size=LARGE_BYTES)
    raise ValueError(damage)


class GivingInstance:
    """A control instance that has had many versions of a document."""

    def __init__(self, versions: int) -> None:
        self.replica = StateReplica()
        self.patches = DocumentPatches()
        self.answers = DocumentAnswers(
            PendingOutlines(self.replica, self.patches), self.patches
        )
        table = RouteTable(1)
        table.add_routes(100)
        self.versions: list[Document] = []
        for number in range(1, versions + 1):
            table.change_route()
            document = Document(number, table.encode())
            self.versions.append(document)
            self.patches.observe(NAME, document)
            self.replica.documents = {NAME: document}

    def give(self, held: bytes) -> GiveDocument:
        latest = self.versions[-1]
        digest = compute_digest(latest.data)
        held_digest = compute_digest(held) if held else b""
        asked = AskDocument(NAME, latest.number, digest, held_digest)
        (send,) = self.answers.answer(InstanceId("entry"), asked)
        return send.message

    def make(self, held: bytes, given: GiveDocument) -> bytes:
        data = held if given.patches[0].base else b""
        for patch in given.patches:
            data = apply_patch(patch, data)
        return data
