"""Link audit records by a chain of hashes; filter records and verify the chain."""

import hashlib

import msgspec

from burdockwall.types import OperatorId, Version

CHAIN_START = "0" * 64
DIFFERENCE_LIMIT_CHARACTERS = 4096


class AuditRecord(msgspec.Struct, frozen=True):
    """Who changed what at what time (seconds since the epoch), and the outcome."""

    index: int
    at: float
    operator: OperatorId
    action: str
    difference: str
    version: Version
    code: int
    chain: str


class AuditFilter(msgspec.Struct, frozen=True, kw_only=True):
    """Conditions on audit records; a field that is not set matches all records."""

    operator: str | None = None
    action: str | None = None
    code: int | None = None
    since_index: int = 0
    since_s: float | None = None
    until_s: float | None = None
    contains: str | None = None
    limit: int | None = None

    def matches(self, record: AuditRecord) -> bool:
        """Return whether a record matches every field that is set."""
        return (
            (self.operator is None or record.operator == self.operator)
            and (self.action is None or record.action == self.action)
            and (self.code is None or record.code == self.code)
            and record.index >= self.since_index
            and (self.since_s is None or record.at >= self.since_s)
            and (self.until_s is None or record.at < self.until_s)
            and (self.contains is None or self.contains in record.difference)
        )


def filter_audit(
    records: list[AuditRecord], audit_filter: AuditFilter
) -> list[AuditRecord]:
    """Return the latest records that match a filter, oldest first."""
    matching = [record for record in records if audit_filter.matches(record)]
    return matching if audit_filter.limit is None else matching[-audit_filter.limit :]


def compute_chain(previous: str, record: AuditRecord) -> str:
    """Compute the hash that links an audit record to the previous record's hash."""
    linked = msgspec.structs.replace(record, chain=previous)
    return hashlib.sha256(msgspec.json.encode(linked)).hexdigest()


def shorten_difference(difference: str) -> str:
    """Cut a long difference to the limit and append its full length and digest."""
    if len(difference) <= DIFFERENCE_LIMIT_CHARACTERS:
        return difference
    digest = hashlib.sha256(difference.encode()).hexdigest()
    start = difference[:DIFFERENCE_LIMIT_CHARACTERS]
    return f"{start}\n... {len(difference)} characters, sha256 {digest}"


def verify_audit(records: list[AuditRecord], before: str = CHAIN_START) -> bool:
    """Return whether the records are consecutive and linked by their hashes."""
    previous = before
    for position, record in enumerate(records):
        if record.index != records[0].index + position:
            return False
        if compute_chain(previous, record) != record.chain:
            return False
        previous = record.chain
    return True
