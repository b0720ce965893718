"""The process of a store."""

from pathlib import Path

from burdockwall.process.control.opening import open_files
from burdockwall.process.member import FleetMember
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.storage.service import StoreService
from burdockwall.process.storage.view import STORE_VIEW, decode_view
from burdockwall.settings import Settings


class StoreNode:
    """Runs a store's service and installs the views of the stores that it receives."""

    def __init__(self, settings: Settings) -> None:
        files = open_files(settings)
        self.member = FleetMember(settings, self._install)
        self.service = StoreService(
            self.member.host,
            settings.instance_id,
            self.member.incarnation,
            files,
            settings.first_start,
            min(settings.store_limit_bytes, self.member.machine.parts.stored_bytes),
            self.member.machine.parts.filed_bytes,
        )

        gauges, service = self.member.gauges, self.service
        gauges.add("store_bytes", lambda: float(service.ledger.room.stored_bytes))
        gauges.add("store_file_bytes", lambda: float(service.journal.size_bytes))
        gauges.add("store_complete", lambda: float(service.ledger.state.complete))
        gauges.add("store_syncs", lambda: float(service.syncs))

    def _install(self, replica: StateReplica) -> None:
        stores = replica.documents.get(STORE_VIEW)
        if stores is not None:
            self.service.install_view(decode_view(stores.data))

    async def run(self, path: Path | None) -> None:
        """Run until stopped."""
        stopping = self.member.stopping.wait
        await self.member.run(path, [self.service.run], [stopping])
