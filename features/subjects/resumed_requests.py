"""Run an attempt beside an earlier one that ends as not sent."""

import asyncio
from contextlib import suppress

from burdockwall.errors import RequestRefused
from burdockwall.process.programs import calls
from burdockwall.process.programs.operations import Outcome, OutcomeKey, ServiceRequest
from burdockwall.process.programs.unrepeatable import Attempt, Callbacks, run_once
from burdockwall.types import (
    CustomerId,
    IdempotencyKey,
    InstanceId,
    RequestId,
    RouteName,
)

FIRST = RequestId("first")
KEY = OutcomeKey(CustomerId("c"), RouteName("book"), IdempotencyKey("key"))
CLAIM_TRIES = 6


class LaterAttempt:
    """An attempt that finds the first one running, then free."""

    def __init__(self) -> None:
        self.claims = 0
        self.sent = False

    def run(self, resumes: bool) -> None:
        request = ServiceRequest("POST", "/", [], b"")
        attempt = Attempt(
            KEY,
            RequestId("second"),
            b"",
            InstanceId("b"),
            request,
            CLAIM_TRIES,
            resumes,
        )
        callbacks = Callbacks(
            self._ask, self._transmit, self._pause, lambda *_: None, lambda _: None
        )
        with suppress(RequestRefused):
            asyncio.run(run_once(attempt, callbacks))

    async def _ask(self, key: OutcomeKey, call: calls.AnyCall) -> calls.AnyAnswer:
        if not isinstance(call, calls.Claim):
            return calls.Accepted()
        self.claims += 1
        if self.claims == 1:
            return calls.ClaimRunning()
        return calls.ClaimGranted() if call.follows else calls.ClaimFree(FIRST)

    async def _transmit(self, request: RequestId, content: ServiceRequest) -> Outcome:
        self.sent = True
        return Outcome(200, "text/plain", b"")

    async def _pause(self, seconds: float) -> None:
        return
