"""The wait for an endpoint, bounded by the admission queue."""

from collections import Counter
from collections.abc import Callable

import anyio
import msgspec

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.admission.queue import (
    AdmissionQueue,
    Admitted,
    Shed,
    ShedReason,
    WaitingJob,
)
from burdockwall.process.scheduling.dispatcher import (
    Dispatch,
    Dispatcher,
    DispatchRequest,
)
from burdockwall.types import CallId, CustomerId, PriorityClass

SHED_KEYS_LIMIT = 256

_CODES = {
    ShedReason.QUEUE_FULL: Code.OVERLOADED,
    ShedReason.DISPLACED: Code.OVERLOADED,
    ShedReason.DEADLINE: Code.DEADLINE_UNMET,
}


class ShedCount(msgspec.Struct, frozen=True):
    """The number of refusals of one customer and priority class for one reason."""

    customer: CustomerId
    priority: str
    reason: str
    count: int


class AdmissionGate:
    """Offers each job to the queue, and ends the wait of jobs that are shed."""

    def __init__(
        self,
        queue: AdmissionQueue,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
    ) -> None:
        self.queue = queue
        self.dispatcher = dispatcher
        self.clock = clock
        self.sheds: Counter[tuple[CustomerId, PriorityClass, ShedReason]] = Counter()
        self._last_call = 0
        self._scopes: dict[CallId, anyio.CancelScope] = {}
        self._shed: dict[CallId, Shed] = {}

    async def acquire(
        self, request: DispatchRequest, deadline: float | None = None
    ) -> Dispatch:
        """Wait for an endpoint.

        Raise RequestRefused as soon as the request is shed; a shed request has not run.
        """
        self._last_call += 1
        job = WaitingJob(
            CallId(self._last_call),
            request.route.pool,
            request.customer,
            request.route.priority,
            request.weight,
            deadline,
        )
        verdict = self.queue.offer(job, self.clock())
        if isinstance(verdict, Shed):
            raise self._build_refusal(job, verdict)
        self._end_wait(verdict)
        return await self._wait(job, request)

    async def _wait(self, job: WaitingJob, request: DispatchRequest) -> Dispatch:
        dispatch: Dispatch | None = None
        shed: Shed | None = None
        with anyio.CancelScope() as scope:
            self._scopes[job.call] = scope
            try:
                dispatch = await self.dispatcher.acquire(request)
            finally:
                del self._scopes[job.call]
                shed = self._shed.pop(job.call, None)
                started = dispatch is not None
                self.queue.leave(job.call, started, self.clock())
        if dispatch is not None:
            return dispatch
        assert shed is not None
        raise self._build_refusal(job, shed)

    def _end_wait(self, verdict: Admitted) -> None:
        if verdict.displaced is not None:
            self._cancel(verdict.displaced)

    def _cancel(self, shed: Shed) -> None:
        scope = self._scopes.get(shed.call)
        if scope is not None:
            self._shed[shed.call] = shed
            scope.cancel()

    def _build_refusal(self, job: WaitingJob, shed: Shed) -> RequestRefused:
        key = (job.customer, job.priority, shed.reason)
        if key in self.sheds or len(self.sheds) < SHED_KEYS_LIMIT:
            self.sheds[key] += 1
        detail = f"The request did not wait: {shed.reason.value}."
        return RequestRefused(_CODES[shed.reason], detail, shed.retry_after_s)

    def explain_sheds(self) -> list[ShedCount]:
        """List the refusals since the process started."""
        return [
            ShedCount(customer, priority.value, reason.value, count)
            for (customer, priority, reason), count in sorted(
                self.sheds.items(),
                key=lambda item: (item[0][0], item[0][1].rank, item[0][2].value),
            )
        ]

    async def run(self, interval_s: float) -> None:
        """Shed jobs that can no longer meet their deadline, until cancelled."""
        while True:
            for shed in self.queue.review(self.clock()):
                self._cancel(shed)
            await anyio.sleep(interval_s)
