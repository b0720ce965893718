"""Apply commands to the control state; the same commands give the same state."""

import difflib
import hashlib

import msgspec

from burdockwall.errors import Code, InvalidFile
from burdockwall.process.control.commands import (
    AnyCommand,
    AuditRecord,
    IssueKey,
    Outcome,
    SubmitConfiguration,
    WithdrawKey,
)
from burdockwall.types import CustomerId, KeyDigest, Version
from burdockwall.version.configuration import parse_configuration

CHAIN_START = "0" * 64
DIGEST_SHOWN_CHARACTERS = 12


def compute_chain(previous: str, record: AuditRecord) -> str:
    """Compute the hash that ties an audit record to the one before it."""
    bare = msgspec.structs.replace(record, chain=previous)
    return hashlib.sha256(msgspec.json.encode(bare)).hexdigest()


class ControlState:
    """Hold configuration, key digests and the audit trail at one version."""

    def __init__(self) -> None:
        self.version = Version(0)
        self.text = ""
        self.keys: dict[KeyDigest, CustomerId] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.audit: list[AuditRecord] = []

    def apply(self, command: AnyCommand, at: float) -> Outcome:
        """Apply a command accepted at a time, once for each submission."""
        known = self.outcomes.get(command.submission)
        if known is not None:
            return known
        outcome, difference = self._execute(command)
        self.outcomes[command.submission] = outcome
        self._append_audit(command, outcome, difference, at)
        return outcome

    def _execute(self, command: AnyCommand) -> tuple[Outcome, str]:
        match command:
            case SubmitConfiguration():
                return self._submit(command)
            case IssueKey(customer=customer, digest=digest):
                self.keys[digest] = customer
                shown = digest[:DIGEST_SHOWN_CHARACTERS]
                return self._accept(), f"+key {shown} customer {customer}"
            case WithdrawKey(digest=digest):
                self.keys.pop(digest, None)
                return self._accept(), f"-key {digest[:DIGEST_SHOWN_CHARACTERS]}"

    def _accept(self) -> Outcome:
        self.version = Version(self.version + 1)
        return Outcome(version=self.version)

    def _refuse(self, code: Code, detail: str) -> Outcome:
        return Outcome(self.version, code.value.number, detail)

    def _submit(self, command: SubmitConfiguration) -> tuple[Outcome, str]:
        if command.based_on != self.version:
            detail = f"based on {command.based_on}, but {self.version} is in force"
            return self._refuse(Code.VERSION_CONFLICT, detail), ""
        try:
            parse_configuration(command.text)
        except InvalidFile as error:
            return self._refuse(Code.CONFIGURATION_INVALID, error.detail), ""
        lines = difflib.unified_diff(
            self.text.splitlines(), command.text.splitlines(), lineterm="", n=0
        )
        difference = "\n".join(lines)
        self.text = command.text
        return self._accept(), difference

    def _append_audit(
        self, command: AnyCommand, outcome: Outcome, difference: str, at: float
    ) -> None:
        previous = self.audit[-1].chain if self.audit else CHAIN_START
        record = AuditRecord(
            index=len(self.audit) + 1,
            at=at,
            operator=command.operator,
            action=type(command).__name__,
            difference=difference,
            version=outcome.version,
            code=outcome.code,
            chain="",
        )
        chain = compute_chain(previous, record)
        self.audit.append(msgspec.structs.replace(record, chain=chain))


def verify_audit(records: list[AuditRecord]) -> bool:
    """Tell whether every record is tied to the one before it."""
    previous = CHAIN_START
    for record in records:
        if compute_chain(previous, record) != record.chain:
            return False
        previous = record.chain
    return True
