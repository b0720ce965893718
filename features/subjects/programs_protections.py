"""Remove one protection of the records at a time, so that a fault run must fail."""

from unittest.mock import patch

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.programs import calls, outcomes, program_tree, unrepeatable
from burdockwall.process.programs.program_tree import Decision
from burdockwall.process.programs.replica import ShardReplica
from features.subjects import programs_faults
from features.subjects.programs_cluster import Cluster

_decide_claim = outcomes.decide_claim
_install = ShardReplica.install
_set_view = Cluster.set_view
_handle_call = ShardReplica._handle_call


def answer_before_backups():
    """Let the primary answer before its backups have the operation."""
    return patch.object(ShardReplica, "_list_required", lambda self: [])


def send_without_record():
    """Let a request be sent before `sending` is recorded."""

    def decide(record, call):
        return Decision(calls.Accepted())

    return patch.object(outcomes, "decide_sending", decide)


def serve_when_empty():
    """Let an instance that restarted without records serve under its earlier view."""

    def install(self, view, now):
        self.incarnation = view.incarnations[view.holders.index(self.instance)]
        self.has_shard = True
        _install(self, view, now)

    return patch.object(ShardReplica, "install", install)


def run_again_when_unknown():
    """Let a new attempt run although the previous one may have run."""

    def decide(record, call, key_expired, owner_silent):
        if record is not None and record.state is outcomes.OutcomeState.UNKNOWN:
            return outcomes._claim(call)
        return _decide_claim(record, call, key_expired, owner_silent)

    return patch.object(outcomes, "decide_claim", decide)


def list_as_backup_before_copy():
    """List a joining replica as a backup before it has a copy."""

    def set_view(self, shard, members, joining, incarnations):
        return _set_view(self, shard, [*members, *joining], [], incarnations)

    return patch.object(Cluster, "set_view", set_view)


def accept_any_view():
    """Let replicas accept operations of earlier views."""
    return patch.object(ShardReplica, "_is_from_primary", lambda *_: True)


def begin_twice():
    """Let a second caller begin a turn that is already running."""
    return patch.object(program_tree.Program, "find_running_turn", lambda self: None)


def skip_charge_of_expired_call():
    """End an expired call without charging what it may have spent."""

    def apply(tree, operation, shard_time):
        tree.programs[operation.program].running.pop(operation.request, None)

    return patch.object(program_tree, "apply_ended_call", apply)


def answer_not_run_without_answer():
    """Answer 'not run' although no primary has answered the claim."""

    async def run(attempt, callbacks):
        try:
            return await unrepeatable._claim_and_run(attempt, callbacks)
        except unrepeatable.NoAnswerError as error:
            raise RequestRefused(Code.ENDPOINT_UNREACHABLE) from error

    return patch.object(programs_faults, "run_once", run)


def act_without_lease():
    """Let an instance act as primary although its lease has expired."""

    def handle(self, sender, message, now):
        self.lease_until = float("inf")
        _handle_call(self, sender, message, now)

    return patch.object(ShardReplica, "_handle_call", handle)


PROTECTIONS = {
    "write to all": answer_before_backups,
    "record before send": send_without_record,
    "no serving without a copy": serve_when_empty,
    "unknown is not run again": run_again_when_unknown,
    "backup only after a copy": list_as_backup_before_copy,
    "one running turn": begin_twice,
    "expired calls are charged": skip_charge_of_expired_call,
    "not run is certain": answer_not_run_without_answer,
    "act only under a lease": act_without_lease,
    "fenced views": accept_any_view,
}

# Options of runs that need a protection often, so that few seeds show its absence.
OPTIONS = {
    "not run is certain": {"ask_timeout_s": 0.02},
    "act only under a lease": {"kinds": ("isolate",)},
}
