"""Provide the replicated control state to the other parts of a process."""

import time
from collections.abc import Callable
from typing import Any

import anyio
import logbook
import msgspec

from burdockwall.errors import Code, OperatorError
from burdockwall.process.allocator import return_large_buffers
from burdockwall.process.control.audit import AuditFilter, AuditRecord, filter_audit
from burdockwall.process.control.changes import Change, Document
from burdockwall.process.control.commands import (
    AnyCommand,
    AnyOperatorCommand,
    DefineOperator,
    ImportState,
    Operator,
    Outcome,
    Permission,
    PutDocument,
    SubmitConfiguration,
)
from burdockwall.process.control.copier import COPY_MESSAGES, AuditCopier
from burdockwall.process.control.entries import Member
from burdockwall.process.control.events import (
    AskRead,
    CallRefused,
    CallUnknown,
    MembershipChanged,
    Propose,
    RemoveMember,
    ReplicaRole,
    RoleChanged,
)
from burdockwall.process.control.image import is_nested_deeply
from burdockwall.process.control.messages import CONTROL_MESSAGES
from burdockwall.process.control.opening import open_replica
from burdockwall.process.control.replica import (
    CallDone,
    CommandApplied,
    Flush,
    FlushRequested,
    encode_command,
)
from burdockwall.process.control.shortening import shorten_submission
from burdockwall.process.control.state import NO_CREDENTIAL, ControlState
from burdockwall.process.host import Host
from burdockwall.process.membership.messages import StateSnapshot
from burdockwall.process.membership.source import take_snapshot
from burdockwall.process.waiters import Waiters
from burdockwall.settings import Settings
from burdockwall.types import (
    Address,
    CallId,
    DocumentName,
    InstanceId,
    KeyDigest,
    OperatorId,
    ShardId,
    Term,
    Version,
)
from burdockwall.version.shards import ShardView

CALL_TIMEOUT_S = 5.0
# Allowed difference in clock rate between two instances, as a fraction.
CLOCK_MARGIN = 0.1
# Token bucket for commands with an unknown operator or a wrong token: each is
# written to the log for the audit trail.
REFUSALS_BURST = 20
REFUSALS_PER_S = 1.0
# Ids of calls that no caller waits for: of proposals, and of the read with which a
# new leader starts.
NO_CALL = CallId(0)
LEADER_START_CALL = CallId(-1)
LOOPBACK_PREFIXES = ("127.", "localhost:", "[::1]:")

Answer = CallDone | CallRefused | CallUnknown


class ReplicaStatus(msgspec.Struct, frozen=True):
    """Status of a replica for operators."""

    voter: str
    role: str
    term: int
    leader: str
    leader_address: Address
    last_index: int
    commit: int
    applied: int
    members: list[Member]


class ControlService:
    """Runs the replica of this instance and the calls on it."""

    def __init__(
        self, settings: Settings, host: Host, wall_clock: Callable[[], float]
    ) -> None:
        self.settings = settings
        self.host = host
        self.wall_clock = wall_clock
        self.state = ControlState()
        self.replica = open_replica(settings, self.state)
        self.replica.report_write_failure = self._log_write_failure
        self.on_applied: list[Callable[[CommandApplied], None]] = []
        self._logger = logbook.Logger("control")
        self._waiters: Waiters[Answer] = Waiters()
        self._flush_requested = anyio.Event()
        self._refusal_tokens = float(REFUSALS_BURST)
        self._refusal_tokens_at = 0.0
        self._hosted = host.add(
            self.replica, CONTROL_MESSAGES, self._perform, ends_process=True
        )
        self.copier: AuditCopier | None = None
        if self.replica.archive is not None:
            self.copier = AuditCopier(
                self.replica.archive, self.state, self._list_peers
            )
            host.add(self.copier, COPY_MESSAGES)

    # Methods of the ControlSource protocol.

    @property
    def version(self) -> Version:
        """Return the latest version applied on this instance."""
        return self.state.version

    @property
    def term(self) -> Term:
        """Return the latest term known to this instance."""
        return self.replica.consensus.state.term

    @property
    def leader(self) -> InstanceId | None:
        """Return the leader of the current term, or None if it is unknown."""
        member = self.replica.consensus.find_leader()
        return member.instance if member else None

    def is_leader_confirmed(self, now: float) -> bool:
        """Return whether this instance leads and no other can have committed entries.

        A majority has confirmed it within the election timeout less the clock margin.
        """
        consensus_state = self.replica.consensus.state
        leadership = consensus_state.leadership
        if leadership is None or consensus_state.applied_index < leadership.start_index:
            return False
        confirmed_for_s = consensus_state.timing.election_timeout_s * (1 - CLOCK_MARGIN)
        return now - leadership.confirmed_at < confirmed_for_s

    def changes_since(self, version: Version) -> list[Change] | None:
        """Return the changes after a version, or None if some are not stored."""
        return self.state.changes_since(version)

    def take_snapshot(self) -> StateSnapshot:
        """Return a snapshot of the latest version."""
        return take_snapshot(self.state)

    def get_shards(self) -> dict[ShardId, ShardView]:
        """Return the latest view of each shard."""
        return self.state.shards

    def find_document(self, name: DocumentName) -> Document | None:
        """Return the latest document of a name that is committed and applied."""
        return self.state.documents.get(name)

    # Calls.

    def propose(self, command: AnyCommand) -> None:
        """Propose a command of this instance, without waiting; it may be lost."""
        data = encode_command(command, self.wall_clock())
        self.host.apply(self._hosted, Propose(NO_CALL, data))

    async def run_command(
        self, command: AnyOperatorCommand, credential: KeyDigest = NO_CREDENTIAL
    ) -> Outcome:
        """Replicate an operator's command and return its outcome.

        Raise OperatorError if it was not accepted or its outcome is unknown.
        """
        self._check_voters()
        self._check_operators_defined()
        self._limit_refused_attempts(command, credential)
        known = await self._find_outcome(command, credential)
        if known is not None:
            return known
        _check_nesting(command)
        shortened = self._shorten(command)
        data = encode_command(shortened, self.wall_clock(), credential)
        call = self._waiters.create()
        answer = await self._wait(call, Propose(call, data))
        assert answer.outcome is not None
        return answer.outcome

    async def _find_outcome(
        self, command: AnyOperatorCommand, credential: KeyDigest
    ) -> Outcome | None:
        """Return the outcome of a put that changes nothing, which needs no log entry.

        A confirmed read shows that what is stored already is in force.
        """
        if not isinstance(command, PutDocument):
            return None
        if self.state.find_outcome(command, credential) is None:
            return None
        await self.confirm_read()
        return self.state.find_outcome(command, credential)

    def _shorten(self, command: AnyOperatorCommand) -> AnyCommand:
        consensus_state = self.replica.consensus.state
        leadership = consensus_state.leadership
        # A leader that has not applied all entries before its term may still have an
        # outdated configuration.
        up_to_date = (
            leadership is not None
            and consensus_state.applied_index >= leadership.start_index
        )
        if isinstance(command, SubmitConfiguration) and up_to_date:
            configurations = self.state.configurations
            return shorten_submission(command, configurations, self.state.version)
        return command

    async def confirm_read(self) -> None:
        """Wait for a linearizable read, or raise OperatorError."""
        self._check_voters()
        call = self._waiters.create()
        await self._wait(call, AskRead(call))

    async def remove_member(self, name: str) -> None:
        """Remove a replica by its identity."""
        members = self.replica.consensus.state.log.membership.members
        for member in members:
            if member.voter == name:
                call = self._waiters.create()
                await self._wait(call, RemoveMember(call, member.voter))
                return
        raise OperatorError(Code.BAD_REQUEST, f"no replica {name}")

    async def _wait(self, call: CallId, event: object) -> CallDone:
        self.host.apply(self._hosted, event)
        try:
            answer = await self._waiters.wait(call, CALL_TIMEOUT_S)
        except TimeoutError as error:
            if isinstance(event, AskRead):
                raise OperatorError(Code.NO_QUORUM) from error
            raise OperatorError(Code.CHANGE_UNKNOWN) from error
        match answer:
            case CallDone():
                return answer
            case CallUnknown():
                raise OperatorError(Code.CHANGE_UNKNOWN)
            case CallRefused():
                raise self._build_refusal()

    def _check_voters(self) -> None:
        """Refuse a call at once that would wait for more voters."""
        if self.replica.consensus.awaits_voters():
            detail = "too few voters yet to bear the tolerated losses"
            raise OperatorError(Code.NO_QUORUM, detail)

    def _build_refusal(self) -> OperatorError:
        consensus = self.replica.consensus
        member = consensus.find_leader()
        if consensus.state.role is ReplicaRole.FAILED:
            detail = "this instance has stepped aside after a failed write"
            return OperatorError(Code.NO_QUORUM, detail)
        if member is None or consensus.is_leader:
            return OperatorError(Code.NO_QUORUM)
        detail = f"the leader is {member.instance} at {member.operator_address}"
        return OperatorError(Code.NOT_LEADER, detail)

    # Operators.

    def authenticate(
        self, name: OperatorId, credential: KeyDigest, permission: Permission | None
    ) -> None:
        """Raise OperatorError unless the operator's token and permission are valid."""
        self._check_operators_defined()
        if not self.state.operators:
            return
        operator = self.state.authenticate(name, credential)
        if permission is not None and permission not in operator.permissions:
            detail = f"operator {name} lacks permission {permission.value}"
            raise OperatorError(Code.OPERATOR_REFUSED, detail)

    def _check_operators_defined(self) -> None:
        if not self.state.operators and self.settings.first_operator:
            detail = "the first operator is not defined yet"
            raise OperatorError(Code.NO_QUORUM, detail)
        address = self.settings.operator_address
        local = self.settings.operators_open or address.startswith(LOOPBACK_PREFIXES)
        if not self.state.operators and not local:
            detail = "no operator is defined; set [operators] name and digest"
            raise OperatorError(Code.OPERATOR_REFUSED, detail)

    def _limit_refused_attempts(
        self, command: AnyCommand, credential: KeyDigest
    ) -> None:
        """Limit the rate of unauthenticated commands that are written to the log."""
        if not self.state.operators:
            return
        try:
            self.state.authenticate(command.operator, credential)
        except OperatorError:
            now = time.monotonic()
            refill = (now - self._refusal_tokens_at) * REFUSALS_PER_S
            self._refusal_tokens = min(REFUSALS_BURST, self._refusal_tokens + refill)
            self._refusal_tokens_at = now
            if self._refusal_tokens < 1:
                raise
            self._refusal_tokens -= 1

    def list_audit(self, audit_filter: AuditFilter) -> list[AuditRecord]:
        """Return the audit records that match a filter, archived and in the state."""
        if self.copier is None:
            return filter_audit(list(self.state.audit), audit_filter)
        last = self.state.audit[-1].index if self.state.audit else 0
        return filter_audit(self.copier.list_records(1, last), audit_filter)

    def _list_peers(self) -> list[InstanceId]:
        members = self.replica.consensus.state.log.membership.members
        own = self.settings.instance_id
        return [member.instance for member in members if member.instance != own]

    def read_status(self) -> ReplicaStatus:
        """Return the status of this instance's replica."""
        consensus = self.replica.consensus
        consensus_state = consensus.state
        leader = consensus.find_leader()
        return ReplicaStatus(
            voter=consensus_state.own_member.voter,
            role=consensus_state.role.value,
            term=consensus_state.term,
            leader=leader.instance if leader else "",
            leader_address=leader.operator_address if leader else Address(""),
            last_index=consensus_state.log.last_index,
            commit=consensus_state.commit_index,
            applied=consensus_state.applied_index,
            members=list(consensus_state.log.membership.members),
        )

    # Actions.

    def _perform(self, action: Any) -> None:
        match action:
            case FlushRequested():
                self._flush_requested.set()
            case CallDone(call=call) if call == LEADER_START_CALL:
                self._define_first_operator()
            case CallDone(call=call) | CallRefused(call=call) | CallUnknown(call=call):
                self._waiters.complete(call, action)
            case CommandApplied():
                for notify in self.on_applied:
                    notify(action)
            case MembershipChanged(membership=membership):
                for member in membership.members:
                    self.host.bus.add_peer(member.instance, member.peer_address)
            case RoleChanged(role=role, term=term, leader=leader):
                extra = {"role": role.value, "term": term, "leader": leader}
                self._logger.notice("control role", extra=extra)
                if role is ReplicaRole.LEADER:
                    # Wait for a confirmed read: only then does the applied state show
                    # whether any operator is defined.
                    self.host.apply(self._hosted, AskRead(LEADER_START_CALL))
            case _:
                pass

    def _define_first_operator(self) -> None:
        name, digest = self.settings.first_operator, self.settings.first_operator_digest
        if not name or self.state.operators:
            return
        operator = Operator(OperatorId(name), KeyDigest(digest), tuple(Permission))
        # A fixed submission makes the command idempotent if several leaders send it.
        command = DefineOperator(
            operator=OperatorId("settings"),
            submission=f"first operator {name}",
            defined=operator,
        )
        data = encode_command(command, self.wall_clock())
        self.host.apply(self._hosted, Propose(NO_CALL, data))

    def _log_write_failure(self, error: OSError) -> None:
        code = Code.DISK_FAILED.value.number
        self._logger.error(
            "write failed; replica stopped until restart",
            extra={"code": code, "error": error},
        )

    async def run(self) -> None:
        """Flush queued writes whenever requested, once for all pending events."""
        return_large_buffers()
        while True:
            await self._flush_requested.wait()
            self._flush_requested = anyio.Event()
            self.host.apply(self._hosted, Flush())


def _check_nesting(command: AnyOperatorCommand) -> None:
    """Refuse an image that some replicas might be able to decode and others not."""
    if isinstance(command, ImportState) and is_nested_deeply(command.image):
        raise OperatorError(Code.IMAGE_INVALID, "nested too deeply")
