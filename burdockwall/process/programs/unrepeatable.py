"""Run an unrepeatable request at most once: record, send, record the outcome.

The functions await only what they are given, so that a shell drives them on the
loop and a test drives them on a virtual clock.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from burdockwall.errors import Code, RequestRefused, find_code
from burdockwall.process.programs import calls
from burdockwall.process.programs.operations import Order, Outcome, OutcomeKey
from burdockwall.types import InstanceId, RequestId

CLAIM_INTERVAL_S = 0.5


class NotSentError(Exception):
    """Report that a request provably never left."""


class LostError(Exception):
    """Report that nobody knows whether a request ran."""


class NoAnswerError(Exception):
    """Report that no primary answered in time; the call may have been written."""


# Asks the shard of a key; raises NoAnswerError.
Ask = Callable[[OutcomeKey, calls.AnyCall], Awaitable[calls.AnyAnswer]]
# Sends an order once; raises NotSentError or LostError.
Transmit = Callable[[RequestId, Order], Awaitable[Outcome]]
Pause = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Attempt:
    """Describe one attempt to run an unrepeatable request."""

    key: OutcomeKey
    request: RequestId
    digest: bytes
    owner: InstanceId
    order: Order
    claim_tries: int


@dataclass(frozen=True, slots=True)
class Callbacks:
    """Hold what an attempt awaits."""

    ask: Ask
    transmit: Transmit
    pause: Pause
    start_renewing: Callable[[RequestId, OutcomeKey], None]
    stop_renewing: Callable[[RequestId], None]


async def run_once(attempt: Attempt, callbacks: Callbacks) -> Outcome:
    """Return the one outcome, or raise RequestRefused that says what is known."""
    try:
        return await _claim_and_run(attempt, callbacks)
    except NoAnswerError as error:
        # The claim may stand, and then another instance sends it.
        raise RequestRefused(Code.OUTCOME_UNKNOWN) from error


async def _claim_and_run(attempt: Attempt, callbacks: Callbacks) -> Outcome:
    follows: RequestId | None = None
    for _ in range(attempt.claim_tries):
        claim = calls.Claim(
            attempt.key,
            attempt.request,
            attempt.digest,
            attempt.owner,
            attempt.order,
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
        # Another attempt took over; its outcome is in the record.
        raise RequestRefused(Code.OUTCOME_UNKNOWN)
    try:
        outcome = await callbacks.transmit(request, attempt.order)
    except NotSentError as error:
        answer = await callbacks.ask(key, calls.RecordNotSent(key, request))
        if isinstance(answer, calls.Accepted):
            raise RequestRefused(
                Code.ENDPOINT_UNREACHABLE, retry_after_s=1.0
            ) from error
        raise RequestRefused(Code.OUTCOME_UNKNOWN) from error
    except LostError as error:
        # The record turns unknown once this call is no longer renewed.
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
