"""Define the commands that change the control state, and their outcomes."""

import msgspec

from burdockwall.types import CustomerId, KeyDigest, OperatorId, Version


class Command(msgspec.Struct, frozen=True, tag=True, array_like=True, kw_only=True):
    """Ask for one change; `submission` identifies it across resends."""

    operator: OperatorId
    submission: str


class SubmitConfiguration(Command, frozen=True, kw_only=True):
    """Replace the configuration that the given version holds."""

    based_on: Version
    text: str


class IssueKey(Command, frozen=True, kw_only=True):
    """Admit a key, known by its digest, for a customer."""

    customer: CustomerId
    digest: KeyDigest


class WithdrawKey(Command, frozen=True, kw_only=True):
    """Stop admitting a key."""

    digest: KeyDigest


AnyCommand = SubmitConfiguration | IssueKey | WithdrawKey


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """State what became of a command: code 0, or the number of the refusal."""

    version: Version
    code: int = 0
    detail: str = ""


class AuditRecord(msgspec.Struct, frozen=True):
    """Record who changed what, when (seconds since the epoch), and the outcome."""

    index: int
    at: float
    operator: OperatorId
    action: str
    difference: str
    version: Version
    code: int
    chain: str
