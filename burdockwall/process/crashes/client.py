"""Keep requests that crash endpoints from them, on behalf of one instance."""

from collections.abc import Callable

import anyio
import logbook
import msgspec

from burdockwall.errors import Code, RequestRefused
from burdockwall.machine import Tick
from burdockwall.process.crashes.evidence import CrashEvidence
from burdockwall.process.crashes.messages import AskSuspects, ShareSuspects
from burdockwall.process.crashes.watch import (
    GATHER_S,
    CrashWatch,
    InstancesChanged,
    NewsGathered,
    RefusalChanged,
    RunCrashed,
    RunEnded,
)
from burdockwall.process.host import Host
from burdockwall.process.jobs import Jobs
from burdockwall.types import Address, EndpointId, Fingerprint, InstanceId

_logger = logbook.Logger("crashes")


class BrokenRun(msgspec.Struct, frozen=True):
    """A run whose answer an endpoint broke off, in seconds of this process's clock."""

    fingerprint: Fingerprint
    endpoint: EndpointId
    address: Address
    started_ms: int | None
    began_at: float
    broke_at: float


class CrashSuspects:
    """The requests that may crash endpoints, as this instance knows them."""

    def __init__(self, host: Host, evidence: CrashEvidence, own: InstanceId) -> None:
        self.host = host
        self.evidence = evidence
        self.watch = CrashWatch(own)
        self.refused_count = 0
        self._hosted = host.add(self.watch, (AskSuspects, ShareSuspects), self._perform)
        self._instances: tuple[InstanceId, ...] = ()
        self._checking: dict[tuple[EndpointId, Address], list[BrokenRun]] = {}
        self._jobs = Jobs(host.failures)

    @property
    def active(self) -> bool:
        """Return whether there is any suspect."""
        return len(self.watch.table) > 0

    def install_instances(self, instances: tuple[InstanceId, ...]) -> None:
        """Share suspects with those of the entry instances that know the messages."""
        required = ShareSuspects.protocol
        instances = tuple(
            item for item in instances if self.host.bus.speaks(item, required)
        )
        if instances != self._instances:
            self.host.apply(self._hosted, InstancesChanged(instances))
            self._instances = instances

    def check(self, identify: Callable[[], Fingerprint]) -> None:
        """Raise RequestRefused if a request is kept from endpoints."""
        if not self.active:
            return
        if self.watch.is_refused(identify(), self.host.clock()):
            self.refused_count += 1
            raise RequestRefused(Code.CRASHES_ENDPOINTS)

    def record_answered(self, identify: Callable[[], Fingerprint]) -> None:
        """Record that an endpoint ran a request and is alive."""
        if not self.active:
            return
        fingerprint = identify()
        if self.watch.is_known(fingerprint):
            self.host.apply(self._hosted, RunEnded(fingerprint))

    def record_broken(self, run: BrokenRun) -> None:
        """Find out, without waiting, whether the endpoint of a run has crashed."""
        key = (run.endpoint, run.address)
        runs = self._checking.get(key)
        if runs is not None:
            runs.append(run)
            return
        if self._jobs.running:
            self._checking[key] = [run]
            self._jobs.start(self._check_endpoint, key, run)

    async def _check_endpoint(
        self, key: tuple[EndpointId, Address], first: BrokenRun
    ) -> None:
        crashed = False
        try:
            crashed = await self.evidence.is_crashed(first.address, first.broke_at)
        finally:
            runs = self._checking.pop(key)
        extra = {"endpoint": first.endpoint, "crashed": crashed, "runs": len(runs)}
        _logger.notice("endpoint broke answers off", extra=extra)
        for run in runs if crashed else ():
            event = RunCrashed(
                run.fingerprint,
                run.endpoint,
                run.started_ms,
                run.began_at,
                run.broke_at,
            )
            self.host.apply(self._hosted, event)

    def _perform(self, action: RefusalChanged | NewsGathered) -> None:
        match action:
            case NewsGathered():
                self._jobs.start(self._tick_soon)
            case RefusalChanged():
                _log_refusal(action)

    async def _tick_soon(self) -> None:
        """Let news go out sooner than with the next tick of the process."""
        await anyio.sleep(GATHER_S)
        self.host.apply(self._hosted, Tick())

    async def run(self) -> None:
        """Carry out checks until cancelled."""
        await self._jobs.run()


def _log_refusal(changed: RefusalChanged) -> None:
    message = "request refused from now on" if changed.refused else "request allowed"
    extra = {
        "fingerprint": changed.fingerprint.hex(),
        "crashed": " ".join(changed.endpoints),
        "refusal_s": changed.refusal_s,
    }
    _logger.notice(message, extra=extra)
