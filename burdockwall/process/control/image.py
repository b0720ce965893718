"""Encode the whole control state, for snapshots, export and import."""

import msgspec

from burdockwall.process.control.audit import AuditRecord
from burdockwall.process.control.changes import Change, Document
from burdockwall.process.control.commands import Operator, Outcome
from burdockwall.types import (
    CustomerId,
    DocumentName,
    KeyDigest,
    OperatorId,
    Version,
)
from burdockwall.version.shards import ShardView

# Calls by which the stack of a replica that applies an image may exceed the leader's.
SPARE_CALLS = 200
# Encoded version, code and lengths of an outcome.
OUTCOME_BYTES = 32


class StoredOutcome(msgspec.Struct, frozen=True, array_like=True):
    """A submission, the digest of its command and its first outcome."""

    submission: str
    digest: bytes
    outcome: Outcome

    def measure_bytes(self) -> int:
        """Estimate the size of the encoded outcome."""
        texts = len(self.submission.encode()) + len(self.outcome.detail.encode())
        return texts + len(self.digest) + OUTCOME_BYTES


class StoredConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """A configuration as compressed text, and the version that put it in force."""

    version: Version
    text: bytes


class StateImage(msgspec.Struct, frozen=True, kw_only=True):
    """The whole content of a control state."""

    version: Version
    configuration_version: Version
    configuration_operator: OperatorId
    sections: dict[str, str]
    keys: dict[KeyDigest, CustomerId]
    withdrawn: bytes
    operators: dict[OperatorId, Operator]
    outcomes: list[StoredOutcome]
    history: list[StoredConfiguration]
    audit: list[AuditRecord]
    changes: list[Change] = []
    shards: list[ShardView] = []
    documents: dict[DocumentName, Document] = {}


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(StateImage)


def encode_image(image: StateImage) -> bytes:
    """Encode an image; equal images are encoded to equal bytes."""
    return _encoder.encode(image)


def decode_image(data: bytes) -> StateImage:
    """Decode an image, or raise msgspec.DecodeError."""
    return _decoder.decode(data)


def decode_given_image(data: bytes) -> StateImage:
    """Decode an operator's image, or raise msgspec.DecodeError."""
    try:
        return decode_image(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def is_nested_deeply(data: bytes, spare_calls: int = SPARE_CALLS) -> bool:
    """Return whether a replica with a deeper stack may be unable to decode an image.

    The stacks of a commit and of a replay differ, and so would what they apply.
    """
    if spare_calls > 0:
        return is_nested_deeply(data, spare_calls - 1)
    try:
        decode_image(data)
    except RecursionError:
        return True
    except msgspec.DecodeError:
        return False
    return False
