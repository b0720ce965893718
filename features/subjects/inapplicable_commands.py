"""Apply commands that can't be applied, to one control state and in a cluster."""

from unittest.mock import patch

import msgspec

from burdockwall.errors import OperatorError
from burdockwall.process.control.changes import Document
from burdockwall.process.control.commands import (
    AssignShards,
    ImportState,
    PutDocument,
)
from burdockwall.process.control.image import StateImage, decode_image
from burdockwall.process.control.state import ControlState
from burdockwall.types import (
    CustomerId,
    DocumentName,
    FencingNumber,
    InstanceId,
    KeyDigest,
    OperatorId,
    ShardId,
    Version,
)
from burdockwall.version.keys import compute_digest
from burdockwall.version.shards import ShardView
from features.subjects.control_cluster import COMPACT_ENTRIES, ControlCluster
from features.subjects.control_site import TOKEN, ControlSite
from features.subjects.control_state import ControlStateSubject, print_customers

NAME = DocumentName("plan")
LARGEST = 2**62
BEYOND = 2**64 - 1
OPERATOR = OperatorId("ann")
DEPTH = 100_000
ELECTION_S = 5.0
SETTLE_S = 5.0
# Of the calls between an operator's call and the state.
SPARE_FRAMES = 40


def build_image(**changes: object) -> bytes:
    image = msgspec.structs.replace(ControlState().take_image(), **changes)
    return msgspec.msgpack.encode(image)


def build_nested(depth: int) -> bytes:
    """Build an image with a nested field of a later build."""
    image = build_image()
    assert 0x80 <= image[0] < 0x8F
    nested = b"\x91" * depth + b"\x01"
    return bytes([image[0] + 1]) + image[1:] + b"\xa5later" + nested


def find_deepest() -> int:
    """Return the deepest nesting that can be decoded on a stack of this depth."""
    decoded = 0
    for depth in range(1, DEPTH):
        try:
            decode_image(build_nested(depth))
        except RecursionError:
            return decoded
        decoded = depth
    return decoded


IMAGES = {
    "a key that is no hex digest": build_image(keys={KeyDigest("zz"): CustomerId("a")}),
    "an empty key": build_image(keys={KeyDigest(""): CustomerId("a")}),
    "a version beyond all others": build_image(version=Version(BEYOND)),
    "a document of a number beyond all others": build_image(
        documents={NAME: Document(BEYOND, b"")}
    ),
    "an unknown field nested 100000 deep": build_nested(DEPTH),
}


def build_put(number: int) -> PutDocument:
    return PutDocument(
        operator=OPERATOR,
        submission=f"put {number}",
        name=NAME,
        number=number,
        data=b"plan",
    )


def build_import(submission: str, based_on: Version, image: bytes) -> ImportState:
    return ImportState(
        operator=OPERATOR, submission=submission, based_on=based_on, image=image
    )


def read_content(state: ControlState) -> tuple[StateImage, str]:
    """Return all that a refusal leaves as it is, also what encoding would sort."""
    image = msgspec.structs.replace(state.take_image(), outcomes=[], audit=[])
    return image, state.configurations.text


class InapplicableCommands(ControlStateSubject):
    """A control state with a little of everything."""

    def __init__(self) -> None:
        super().__init__()
        self.apply(self.build_submit(print_customers("a b")))
        self.apply(self.build_issue("a", 1))
        self.apply(build_put(1))
        assert [outcome.code for outcome in self.outcomes] == [0, 0, 0]
        self.before = msgspec.msgpack.encode(read_content(self.state))

    def import_image(self, image: bytes) -> None:
        self.apply(self.build_import(image, self.state.version))

    def import_largest(self) -> None:
        documents = {NAME: Document(LARGEST, b"")}
        image = msgspec.structs.replace(
            self.state.take_image(), version=Version(LARGEST), documents=documents
        )
        self.import_image(msgspec.msgpack.encode(image))
        self.apply(self.build_withdraw(1))

    def build_command(self, name: str):
        state = self.state
        match name:
            case "an import":
                image = build_image(version=Version(9))
                return self.build_import(image, state.version)
            case "a submission":
                return self.build_submit(print_customers("c"))
            case "a rollback":
                return self.build_rollback(1)
            case "a key issued":
                return self.build_issue("b", 2)
            case "a key withdrawn":
                return self.build_withdraw(1)
            case "a document":
                return build_put(2)
            case "a shard assignment":
                view = ShardView(ShardId(1), FencingNumber(1), InstanceId("one"))
                return AssignShards(
                    operator=OPERATOR, submission="shards", views=(view,)
                )

    def apply_raising(self, name: str) -> None:
        with patch.object(ControlState, "_accept", side_effect=ValueError("odd")):
            if name == "an operator":
                self.define("root", ())
            else:
                self.apply(self.build_command(name))

    def apply_without_memory(self) -> None:
        with patch.object(ControlState, "_accept", side_effect=MemoryError):
            self.apply(build_put(2))

    def is_unchanged(self) -> bool:
        return msgspec.msgpack.encode(read_content(self.state)) == self.before


class InapplicableCluster(ControlCluster):
    """Replicas whose log gets commands that can't be applied."""

    def __init__(self, voters: int) -> None:
        super().__init__(1, voters)
        self.network.run_until(ELECTION_S)
        self.submissions: list[str] = []

    def commit_images(self) -> None:
        for fault, image in IMAGES.items():
            leader = self.find_leader()
            assert leader is not None
            version = leader.replica.state.version
            self.submissions.append(fault)
            self.propose(leader, build_import(fault, version, image))
            self.network.run_until(self.network.now + SETTLE_S)

    def restart_all(self) -> None:
        assert len(self.submissions) < COMPACT_ENTRIES
        for node in self.nodes.values():
            self.crash(node)
        for node in self.nodes.values():
            self.restart(node)
        self.network.run_until(self.network.now + SETTLE_S)

    def list_codes(self) -> list[list[int]]:
        return [
            [
                node.replica.state.outcomes[name].outcome.code
                for name in self.submissions
            ]
            for node in self.nodes.values()
        ]


class ImportingSite(ControlSite):
    """A control instance that is sent an image which only some stacks can decode."""

    def __init__(self) -> None:
        super().__init__(1)
        self.code = 0
        self.grown = 0
        self.actions.append(self.import_nested)

    async def import_nested(self) -> None:
        (node,) = self.nodes.values()
        log = node.control.replica.consensus.state.log
        before = log.last_index
        image = build_nested(find_deepest() - SPARE_FRAMES)
        command = build_import("nested", node.control.state.version, image)
        command = msgspec.structs.replace(command, operator=OperatorId("root"))
        try:
            outcome = await node.control.run_command(command, compute_digest(TOKEN))
            self.code = outcome.code
        except OperatorError as error:
            self.code = error.code.value.number
        self.grown = log.last_index - before
