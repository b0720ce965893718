"""The service of a store, which runs its ledger on files."""

from collections.abc import Sequence

import anyio
import anyio.to_thread
import logbook

from burdockwall.errors import Code
from burdockwall.process.control.files import Files, StorageError
from burdockwall.process.host import Host
from burdockwall.process.storage.copier import (
    COPIER_MESSAGES,
    CompletenessChanged,
    Copier,
    ViewInstalled,
)
from burdockwall.process.storage.journal import LedgerJournal
from burdockwall.process.storage.ledger import (
    LEDGER_MESSAGES,
    Ledger,
    RecordsSynced,
    ReleaseRecords,
    WriteRecords,
)
from burdockwall.process.storage.messages import BeginTurn, EndTurn
from burdockwall.process.storage.records import RecordPlace, StoredRecord
from burdockwall.process.storage.view import StoreView
from burdockwall.types import Incarnation, InstanceId

# A full disk may have space again, and a failed sync may succeed after a rewrite.
RETRY_WRITE_S = 0.5


class StoreService:
    """Hosts a store's ledger and copier, and writes their records in a thread."""

    def __init__(
        self,
        host: Host,
        instance: InstanceId,
        incarnation: Incarnation,
        files: Files,
        first_start: bool,
        limit_bytes: int,
        disk_limit_bytes: int = 0,
    ) -> None:
        self.host = host
        self.journal = LedgerJournal(files)
        self.ledger = Ledger(
            incarnation, first_start, limit_bytes, self.journal.read, disk_limit_bytes
        )
        self.copier = Copier(instance, self.ledger)
        self.syncs = 0
        self._logger = logbook.Logger("store")
        self._queue: list[WriteRecords | ReleaseRecords] = []
        self._due = anyio.Event()
        self._recover()
        self._hosted = host.add(
            self.ledger, LEDGER_MESSAGES, self._perform, ends_process=True
        )
        host.bus.hold_acknowledgements((BeginTurn, EndTurn))
        self._hosted_copier = host.add(
            self.copier, COPIER_MESSAGES, self._log_completeness
        )

    def _recover(self) -> None:
        recovery = self.journal.recover()
        self.ledger.recover(
            recovery.records, recovery.whole, self.host.clock(), recovery.places
        )
        self._logger.notice(
            "store opened",
            extra={
                "records": len(recovery.records),
                "whole": recovery.whole,
                "complete": self.ledger.state.complete,
                "since": self.ledger.state.since,
            },
        )

    def install_view(self, view: StoreView) -> None:
        """Follow a view of the stores."""
        self.host.apply(self._hosted_copier, ViewInstalled(view))

    def _perform(self, action: WriteRecords | ReleaseRecords) -> None:
        self._queue.append(action)
        self._due.set()

    def _log_completeness(self, action: CompletenessChanged) -> None:
        self._logger.notice(
            "completeness changed",
            extra={
                "complete": action.complete,
                "sources": " ".join(action.sources),
                "copied": " ".join(action.copied),
                "view": self.copier.view.number,
            },
        )

    async def run(self) -> None:
        """Write queued records, with one sync for all that are queued at a time."""
        while True:
            await self._due.wait()
            self._due = anyio.Event()
            queue, self._queue = self._queue, []
            records = [
                record
                for action in queue
                if isinstance(action, WriteRecords)
                for record in action.records
            ]
            tickets = [
                action.ticket for action in queue if isinstance(action, WriteRecords)
            ]
            released = sum(
                action.records for action in queue if isinstance(action, ReleaseRecords)
            )
            places: list[RecordPlace] = []
            if records:
                places = await self._write_until_done(records)
            if tickets:
                self._report_synced(tickets[-1], places)
            if released:
                await self._remove_released(released)
                self._report_synced(0, [])

    def _report_synced(self, ticket: int, places: Sequence[RecordPlace]) -> None:
        synced = RecordsSynced(ticket, places, self.journal.size_bytes)
        self.host.apply(self._hosted, synced)

    async def _write_until_done(
        self, records: Sequence[StoredRecord]
    ) -> list[RecordPlace]:
        """Write and sync, and retry until it succeeds; nothing is confirmed before."""
        failed = False
        while True:
            try:
                places = await anyio.to_thread.run_sync(self.journal.write, records)
            except OSError as error:
                if not failed:
                    self._logger.error("write failed", extra={"error": str(error)})
                failed = True
                await anyio.sleep(RETRY_WRITE_S)
                continue
            except Exception as error:
                # Later records must not be confirmed without these.
                detail = f"records not written: {error!r}"
                raise StorageError(Code.STATE_UNCERTAIN, detail) from error
            self.syncs += 1
            if failed:
                self._logger.notice("writes succeed again")
            return places

    async def _remove_released(self, released: int) -> None:
        """Remove files that are not needed; what fails is tried with the next ones."""
        self.journal.release(released)
        try:
            await anyio.to_thread.run_sync(self.journal.remove_released)
        except OSError as error:
            self._logger.error("files not removed", extra={"error": str(error)})
