"""Run an unrepeatable request at most once: record, send, record the outcome.

The functions await only the callbacks they are given, so they run on the event loop
in a process and on a virtual clock in tests.
"""

from collections.abc import Awaitable, Callable

import msgspec

from burdockwall.errors import Code, RequestRefused, find_code
from burdockwall.process.programs import calls
from burdockwall.process.programs.operations import Outcome, OutcomeKey, ServiceRequest
from burdockwall.types import InstanceId, RequestId

CLAIM_INTERVAL_S = 0.5


class NotSentError(Exception):
    """The request was provably never sent; `refusal` is the answer to its caller."""

    def __init__(self, refusal: RequestRefused | None = None) -> None:
        super().__init__()
        self.refusal = refusal or RequestRefused(
            Code.ENDPOINT_UNREACHABLE, retry_after_s=1.0
        )


class LostError(Exception):
    """The request may have been sent, and it is unknown whether it ran."""


class NoAnswerError(Exception):
    """No primary answered in time; the call's write may still have been made."""


# Sends a call to the primary of the key's shard; raises NoAnswerError.
Ask = Callable[[OutcomeKey, calls.AnyCall], Awaitable[calls.AnyAnswer]]
# Sends the request once; raises NotSentError or LostError.
Transmit = Callable[[RequestId, ServiceRequest], Awaitable[Outcome]]
Pause = Callable[[float], Awaitable[None]]


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to run an unrepeatable request.

    `claim_tries` bounds how often the attempt claims the record. One that `resumes` an
    accepted request ends with it: its caller may have been told that it did not run.
    """

    key: OutcomeKey
    request: RequestId
    digest: bytes
    owner: InstanceId
    service_request: ServiceRequest
    claim_tries: int
    resumes: bool = False


class Callbacks(msgspec.Struct, frozen=True):
    """The operations that an attempt needs from its caller."""

    ask: Ask
    transmit: Transmit
    pause: Pause
    start_renewing: Callable[[RequestId, OutcomeKey], None]
    stop_renewing: Callable[[RequestId], None]


async def run_once(attempt: Attempt, callbacks: Callbacks) -> Outcome:
    """Return the outcome of the request, or raise RequestRefused.

    The code tells whether the request provably did not run or may have run.
    """
    try:
        return await _claim_and_run(attempt, callbacks)
    except NoAnswerError as error:
        # The claim may have been written; then another instance sends the request.
        raise RequestRefused(Code.OUTCOME_UNKNOWN) from error


async def _claim_and_run(attempt: Attempt, callbacks: Callbacks) -> Outcome:
    follows: RequestId | None = None
    for _ in range(attempt.claim_tries):
        claim = calls.Claim(
            attempt.key,
            attempt.request,
            attempt.digest,
            attempt.owner,
            attempt.service_request,
            follows,
        )
        match await callbacks.ask(attempt.key, claim):
            case calls.ClaimGranted():
                callbacks.start_renewing(attempt.request, attempt.key)
                try:
                    return await _run_granted(attempt, callbacks)
                finally:
                    callbacks.stop_renewing(attempt.request)
            case calls.ClaimFinished(outcome=outcome):
                return outcome
            case calls.ClaimFree() if attempt.resumes:
                raise RequestRefused(Code.OUTCOME_UNKNOWN)
            case calls.ClaimFree(request=request):
                follows = request
            case calls.ClaimRunning():
                await callbacks.pause(CLAIM_INTERVAL_S)
            case answer:
                raise _refuse(answer)
    raise RequestRefused(Code.IDEMPOTENCY_RUNNING, retry_after_s=1.0)


def _refuse(answer: calls.AnyAnswer) -> RequestRefused:
    if isinstance(answer, calls.Refused):
        return RequestRefused(find_code(answer.code), answer.detail)
    return RequestRefused(Code.INTERNAL)


async def _run_granted(attempt: Attempt, callbacks: Callbacks) -> Outcome:
    key, request = attempt.key, attempt.request
    answer = await callbacks.ask(key, calls.MarkSending(key, request))
    if not isinstance(answer, calls.Accepted):
        # Another attempt has claimed the record and will store its outcome there.
        raise RequestRefused(Code.OUTCOME_UNKNOWN)
    try:
        outcome = await callbacks.transmit(request, attempt.service_request)
    except NotSentError as error:
        answer = await callbacks.ask(key, calls.RecordNotSent(key, request))
        if isinstance(answer, calls.Accepted):
            raise error.refusal from error
        raise RequestRefused(Code.OUTCOME_UNKNOWN) from error
    except LostError as error:
        # The record's state becomes unknown, as this call is no longer renewed.
        raise RequestRefused(Code.OUTCOME_UNKNOWN) from error
    await _store_outcome(attempt, callbacks, outcome)
    return outcome


async def _store_outcome(
    attempt: Attempt, callbacks: Callbacks, outcome: Outcome
) -> None:
    record = calls.RecordOutcome(attempt.key, attempt.request, outcome)
    answer = await callbacks.ask(attempt.key, record)
    if not isinstance(answer, calls.Accepted):
        raise RequestRefused(Code.OUTCOME_UNKNOWN)
