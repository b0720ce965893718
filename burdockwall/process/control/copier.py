"""Copy audit records that this replica never applied from other replicas."""

from collections.abc import Callable

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.control.archive import AuditArchive
from burdockwall.process.control.audit import AuditRecord
from burdockwall.process.control.state import ControlState
from burdockwall.types import InstanceId

RECORDS_PER_REQUEST = 200
REQUEST_INTERVAL_S = 1.0


class AskAudit(Message, frozen=True):
    """Ask for audit records from an index on."""

    first: int


class AnswerAudit(Message, frozen=True):
    """Send the stored audit records from an index on."""

    first: int
    records: list[AuditRecord]


COPY_MESSAGES: tuple[type[Message], ...] = (AskAudit, AnswerAudit)


class AuditCopier:
    """Completes the audit archive of a replica that was restored from a snapshot."""

    def __init__(
        self,
        archive: AuditArchive,
        state: ControlState,
        list_peers: Callable[[], list[InstanceId]],
    ) -> None:
        self.archive = archive
        self.state = state
        self.list_peers = list_peers
        self._next_request_at = 0.0
        self._request_count = 0

    def handle(self, event: Tick | Receive, now: float) -> list[Send]:
        """Handle an event and return the requests and answers to send."""
        match event:
            case Tick() if now >= self._next_request_at:
                return self._request_missing(now)
            case Receive(sender=sender, message=AskAudit(first=first)):
                records = self.list_records(first, RECORDS_PER_REQUEST)
                return [Send(sender, AnswerAudit(first, records))]
            case Receive(message=AnswerAudit() as answer):
                return self._store_answer(answer, now)
            case _:
                return []

    def find_first_missing(self) -> int | None:
        """Return the first index that neither archive nor state has, or None."""
        first = self.archive.last_index + 1
        if not self.state.audit or self.state.audit[0].index <= first:
            return None
        return first

    def list_records(self, first: int, count: int) -> list[AuditRecord]:
        """List records from an index on, from the archive and then the state."""
        records = self.archive.read(first, count)
        following = records[-1].index + 1 if records else first
        for record in self.state.audit:
            if record.index == following and len(records) < count:
                records.append(record)
                following += 1
        return records

    def _request_missing(self, now: float) -> list[Send]:
        self._next_request_at = now + REQUEST_INTERVAL_S
        missing, peers = self.find_first_missing(), self.list_peers()
        if missing is None or not peers:
            return []
        self._request_count += 1
        return [Send(peers[self._request_count % len(peers)], AskAudit(missing))]

    def _store_answer(self, answer: AnswerAudit, now: float) -> list[Send]:
        if answer.first != self.find_first_missing() or not answer.records:
            return []
        try:
            self.archive.store(answer.records)
        except OSError:
            # The missing records are requested again at a later tick.
            return []
        return self._request_missing(now)
