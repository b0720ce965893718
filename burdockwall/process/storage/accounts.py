"""The accounts of programs at a store: what their turns have used or reserved."""

from typing import NamedTuple

import msgspec

from burdockwall.process.storage.messages import Charge
from burdockwall.process.storage.records import MS_PER_S, LedgerRecord, RecordKind
from burdockwall.types import CustomerId, ProgramId, TurnId

# Charges are retained twice as long as turns: a program can continue within the
# retention of its last turn, and its budget must still count then.
ACCOUNT_RETENTIONS = 2.0


class ProgramKey(NamedTuple):
    """The key of a program among the programs of all customers."""

    customer: CustomerId
    program: ProgramId


class _Account(msgspec.Struct):
    charges: dict[TurnId, Charge] = msgspec.field(default_factory=dict)
    expires_at: float = 0.0
    # Whether a turn of the program was answered completely.
    answered: bool = False


class Accounts:
    """The accounts of all programs, which expire with their last record."""

    def __init__(self) -> None:
        self._accounts: dict[ProgramKey, _Account] = {}

    def apply(self, record: LedgerRecord, now: float) -> None:
        """Count a record, once however often it is applied."""
        key = ProgramKey(record.customer, record.program)
        account = self._accounts.setdefault(key, _Account())
        retention_s = ACCOUNT_RETENTIONS * record.retention_ms / MS_PER_S
        account.expires_at = max(account.expires_at, now + retention_s)
        settled = record.kind is RecordKind.SETTLED
        charge = account.charges.get(record.turn)
        if charge is None or not charge.settled:
            account.charges[record.turn] = Charge(record.turn, record.tokens, settled)
        account.answered = account.answered or (settled and record.whole)

    def list_other_charges(self, program: ProgramKey, turn: TurnId) -> list[Charge]:
        """List the charges of a program's turns but one."""
        account = self._accounts.get(program, _Account())
        return [charge for other, charge in account.charges.items() if other != turn]

    def is_answered(self, program: ProgramKey) -> bool:
        """Return whether a turn of a program was answered completely."""
        account = self._accounts.get(program)
        return account is not None and account.answered

    def is_expired(self, program: ProgramKey, now: float) -> bool:
        """Return whether no record of a program is needed for its budget."""
        account = self._accounts.get(program)
        return account is None or account.expires_at <= now

    def expire(self, now: float) -> None:
        """Drop the expired accounts."""
        expired = [key for key in self._accounts if self.is_expired(key, now)]
        for key in expired:
            del self._accounts[key]
