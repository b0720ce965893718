"""Call the primaries of shards from tasks on the event loop."""

from collections.abc import Callable

import anyio

from burdockwall.errors import RequestRefused, find_code
from burdockwall.process.host import Host
from burdockwall.process.programs import calls
from burdockwall.process.programs.operations import (
    OutcomeKey,
    ProgramTreeKey,
    RecordKey,
)
from burdockwall.process.programs.outcomes import OutcomeRecord
from burdockwall.process.programs.program_tree import Limits, ProgramEnded
from burdockwall.process.programs.replica import SendAccepted
from burdockwall.process.programs.requester import (
    REQUESTER_MESSAGES,
    AbandonCall,
    CompleteCall,
    RecordRequester,
    RevokeCall,
    StartCall,
    StartRenewing,
    StopRenewing,
)
from burdockwall.process.programs.store import STORE_MESSAGES, create_store
from burdockwall.process.programs.unrepeatable import NoAnswerError
from burdockwall.process.waiters import Waiters
from burdockwall.types import CallId, Incarnation, RequestId, ShardId
from burdockwall.version.shards import (
    CopyConfirmed,
    LeaseRenewed,
    ShardsInstalled,
    find_record_shard,
)

ASK_TIMEOUT_S = 8.0


def find_shard(key: RecordKey) -> ShardId:
    """Return the shard that a record belongs to."""
    match key:
        case ProgramTreeKey(customer=customer, root=root):
            return find_record_shard(customer, root)
        case OutcomeKey(customer=customer, route=route, key=text):
            return find_record_shard(customer, f"{route}\0{text}")


class RecordClient:
    """Hosts this instance's replicas, and calls the primaries of all shards.

    `on_send_accepted` is called with the record of a request that was accepted and
    never sent, and that is now to be sent.
    """

    def __init__(
        self,
        host: Host,
        incarnation: Incarnation,
        limits: Limits,
        on_program_ended: Callable[[ProgramEnded], None] = lambda ended: None,
        on_send_accepted: Callable[[OutcomeRecord], None] = lambda record: None,
    ) -> None:
        self.instance = host.bus.instance
        self.host = host
        self.on_program_ended = on_program_ended
        self.on_send_accepted = on_send_accepted
        self.prefix = f"{self.instance}.{incarnation}"
        self.store = create_store(self.instance, incarnation, limits)
        self.requester = RecordRequester(self.prefix)
        self._waiters: Waiters[calls.AnyAnswer] = Waiters()
        self._tokens: dict[RequestId, CallId] = {}
        self._revocations: dict[RequestId, Callable[[], None]] = {}
        host.add(
            self.store,
            STORE_MESSAGES,
            self._perform_store,
            (ShardsInstalled, LeaseRenewed),
            ends_process=True,
        )
        self._hosted_requester = host.add(
            self.requester,
            REQUESTER_MESSAGES,
            self._perform_requester,
            (ShardsInstalled,),
        )

    def _perform_store(
        self, action: CopyConfirmed | SendAccepted | ProgramEnded
    ) -> None:
        match action:
            case CopyConfirmed():
                self.host.publish(action)
            case SendAccepted(record=record):
                self.on_send_accepted(record)
            case ProgramEnded():
                self.on_program_ended(action)

    def _perform_requester(self, action: CompleteCall | RevokeCall) -> None:
        match action:
            case CompleteCall(token=token, answer=answer):
                call = self._tokens.get(token)
                if call is not None:
                    self._waiters.complete(call, answer)
            case RevokeCall(request=request):
                revoke = self._revocations.get(request)
                if revoke is not None:
                    revoke()

    async def ask(
        self, shard: ShardId, call: calls.AnyCall, timeout_s: float = ASK_TIMEOUT_S
    ) -> calls.AnyAnswer:
        """Return the primary's answer to a call, or raise NoAnswerError.

        A call without an answer may still have been written.
        """
        number = self._waiters.create()
        token = RequestId(f"{self.prefix}.{number}")
        self._tokens[token] = number
        try:
            self.host.apply(self._hosted_requester, StartCall(token, shard, call))
            return await self._waiters.wait(number, timeout_s)
        except TimeoutError as error:
            raise NoAnswerError from error
        finally:
            self._tokens.pop(token, None)
            self.host.apply(self._hosted_requester, AbandonCall(token))

    async def ask_record(self, key: RecordKey, call: calls.AnyCall) -> calls.AnyAnswer:
        """Return the answer of the primary of a record's shard."""
        return await self.ask(find_shard(key), call)

    def start_renewing(
        self,
        request: RequestId,
        key: RecordKey,
        revoke: Callable[[], None] = lambda: None,
    ) -> None:
        """Renew a running call until it is stopped.

        `revoke` is called if the call is ended in its record.
        """
        self._revocations[request] = revoke
        self.host.apply(self._hosted_requester, StartRenewing(request, find_shard(key)))

    def stop_renewing(self, request: RequestId) -> None:
        """Stop renewing a call."""
        self._revocations.pop(request, None)
        self.host.apply(self._hosted_requester, StopRenewing(request))

    def list_shards(self) -> list[ShardId]:
        """List the shards that have a primary."""
        return list(self.requester.shards.views)

    async def ask_all(self, call: calls.AnyCall) -> list[calls.AnyAnswer]:
        """Return the answers of all shards that answer in time."""
        answers: list[calls.AnyAnswer] = []

        async def ask_one(shard: ShardId) -> None:
            try:
                answers.append(await self.ask(shard, call))
            except NoAnswerError:
                return

        async with anyio.create_task_group() as group:
            for shard in self.list_shards():
                group.start_soon(ask_one, shard)
        return answers


def raise_refusal(answer: calls.AnyAnswer) -> None:
    """Raise RequestRefused where an answer is a refusal."""
    if isinstance(answer, calls.Refused):
        code = find_code(answer.code)
        raise RequestRefused(code, answer.detail, retry_after_s=1.0)
