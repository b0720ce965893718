"""Define the commands that change the control state, and their outcomes."""

from enum import Enum

import msgspec

from burdockwall.types import (
    CustomerId,
    DocumentName,
    KeyDigest,
    OperatorId,
    Version,
)
from burdockwall.version.shards import ShardView


class Permission(Enum):
    """A part of the state that an operator may change."""

    CONFIGURATION = "configuration"
    KEYS = "keys"
    OPERATORS = "operators"
    STATE = "state"


class Operator(msgspec.Struct, frozen=True, array_like=True):
    """An operator: token digest, permissions, and customers whose keys it may change.

    Empty `customers` means all customers.
    """

    name: OperatorId
    digest: KeyDigest
    permissions: tuple[Permission, ...]
    customers: tuple[CustomerId, ...] = ()


class Command(msgspec.Struct, frozen=True, tag=True, array_like=True, kw_only=True):
    """Base of all commands; `submission` identifies a command that is sent again."""

    operator: OperatorId
    submission: str


class SystemCommand(Command, frozen=True, kw_only=True):
    """Base of the commands that only the leader itself proposes."""


class SubmitConfiguration(Command, frozen=True, kw_only=True):
    """Replace the configuration that was in force at the given version."""

    based_on: Version
    text: str


class RollBack(Command, frozen=True, kw_only=True):
    """Put the configuration of an earlier version in force as a new version."""

    based_on: Version
    target: Version


class IssueKey(Command, frozen=True, kw_only=True):
    """Issue a key, given by its digest, to a customer."""

    customer: CustomerId
    digest: KeyDigest


class WithdrawKey(Command, frozen=True, kw_only=True):
    """Withdraw a key permanently."""

    digest: KeyDigest


class DefineOperator(Command, frozen=True, kw_only=True):
    """Add an operator, or replace its token digest and permissions."""

    defined: Operator


class RemoveOperator(Command, frozen=True, kw_only=True):
    """Remove an operator."""

    name: OperatorId


class ImportState(Command, frozen=True, kw_only=True):
    """Replace configuration, keys, operators and documents by an exported image."""

    based_on: Version
    image: bytes


class PutDocument(Command, frozen=True, kw_only=True):
    """Store a document unless one with the same or a higher number is stored."""

    name: DocumentName
    number: int
    data: bytes


AnyOperatorCommand = (
    SubmitConfiguration
    | RollBack
    | IssueKey
    | WithdrawKey
    | DefineOperator
    | RemoveOperator
    | ImportState
    | PutDocument
)


class ChangeSections(Command, frozen=True, kw_only=True):
    """Apply the difference of a submitted configuration that the leader has checked.

    It replaces SubmitConfiguration in the log; `text_digest` is that of the submitted
    text, `difference_base` the version of the configuration that was compared.
    """

    based_on: Version
    text_digest: bytes
    difference_base: Version
    changed: dict[str, str]
    removed: tuple[str, ...]


class AssignShards(SystemCommand, frozen=True, kw_only=True):
    """Put the next views of shards in force, all of them or none."""

    views: tuple[ShardView, ...]


AnyCommand = AnyOperatorCommand | ChangeSections | AssignShards


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a command: code 0, or the code of the refusal."""

    version: Version
    code: int = 0
    detail: str = ""
