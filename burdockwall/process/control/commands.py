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
    """Name what an operator may change."""

    CONFIGURATION = "configuration"
    KEYS = "keys"
    OPERATORS = "operators"
    STATE = "state"


class Operator(msgspec.Struct, frozen=True, array_like=True):
    """Describe an operator: token digest, permissions, customers of its keys.

    An empty `customers` admits every customer.
    """

    name: OperatorId
    digest: KeyDigest
    permissions: tuple[Permission, ...]
    customers: tuple[CustomerId, ...] = ()


class Command(msgspec.Struct, frozen=True, tag=True, array_like=True, kw_only=True):
    """Ask for one change; `submission` identifies it across resends."""

    operator: OperatorId
    submission: str


class SystemCommand(Command, frozen=True, kw_only=True):
    """Ask for a change that the leader itself decides; operators can't send it."""


class SubmitConfiguration(Command, frozen=True, kw_only=True):
    """Replace the configuration that was in force at the given version."""

    based_on: Version
    text: str


class RollBack(Command, frozen=True, kw_only=True):
    """Put the configuration of an earlier version in force as a new version."""

    based_on: Version
    target: Version


class IssueKey(Command, frozen=True, kw_only=True):
    """Admit a key, known by its digest, for a customer."""

    customer: CustomerId
    digest: KeyDigest


class WithdrawKey(Command, frozen=True, kw_only=True):
    """Stop admitting a key, for good."""

    digest: KeyDigest


class DefineOperator(Command, frozen=True, kw_only=True):
    """Add an operator, or replace its token digest and permissions."""

    defined: Operator


class RemoveOperator(Command, frozen=True, kw_only=True):
    """Remove an operator."""

    name: OperatorId


class ImportState(Command, frozen=True, kw_only=True):
    """Replace configuration, keys and operators by those of an exported image."""

    based_on: Version
    image: bytes


class PutDocument(Command, frozen=True, kw_only=True):
    """Keep a document under a number that its author chose; the highest wins."""

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
    """Replace a configuration by its difference, as the leader has checked it.

    It stands in the log for a submission whose text has the digest; `found` is the
    version of the configuration that the difference was made from.
    """

    based_on: Version
    text_digest: bytes
    difference_base: Version
    changed: dict[str, str]
    removed: tuple[str, ...]


class AssignShards(SystemCommand, frozen=True, kw_only=True):
    """Put later views of shards in force; all of them or none."""

    views: tuple[ShardView, ...]


AnyCommand = AnyOperatorCommand | ChangeSections | AssignShards


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """State what became of a command: code 0, or the number of the refusal."""

    version: Version
    code: int = 0
    detail: str = ""
