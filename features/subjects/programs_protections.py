"""Take protections of the records away, one at a time, to see a check fail."""

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
    """Let a request leave before `sending` is recorded."""

    def decide(record, call):
        return Decision(calls.Accepted())

    return patch.object(outcomes, "decide_sending", decide)


def serve_when_empty():
    """Let an instance that restarted empty serve under its former view."""

    def install(self, view, now):
        self.incarnation = view.incarnations[view.holders.index(self.instance)]
        self.has_shard = True
        _install(self, view, now)

    return patch.object(ShardReplica, "install", install)


def run_again_after_silence():
    """Let a new attempt run where the former one may have run."""

    def decide(record, call, key_expired, owner_silent):
        if record is not None and record.state is outcomes.OutcomeState.UNKNOWN:
            return outcomes._claim(call)
        return _decide_claim(record, call, key_expired, owner_silent)

    return patch.object(outcomes, "decide_claim", decide)


def count_before_copying():
    """Call a shard repaired as soon as the repair is assigned."""

    def set_view(self, shard, full, joining, lives):
        return _set_view(self, shard, [*full, *joining], [], lives)

    return patch.object(Cluster, "set_view", set_view)


def take_any_view():
    """Let replicas take operations of former views."""
    return patch.object(ShardReplica, "_is_from_primary", lambda *_: True)


def begin_twice():
    """Let a second caller begin a turn that is running."""
    return patch.object(program_tree.Program, "find_running_turn", lambda self: None)


def forget_budget():
    """Settle without counting what a lapsed call may have spent."""

    def apply(tree, operation, shard_time):
        tree.programs[operation.program].running.pop(operation.request, None)

    return patch.object(program_tree, "apply_ended_call", apply)


def say_not_run_unanswered():
    """Answer 'not run' where no primary has answered the claim."""

    async def run(attempt, callbacks):
        try:
            return await unrepeatable._claim_and_run(attempt, callbacks)
        except unrepeatable.NoAnswerError as error:
            raise RequestRefused(Code.ENDPOINT_UNREACHABLE) from error

    return patch.object(programs_faults, "run_once", run)


def act_without_lease():
    """Let an instance act as primary although its lease has lapsed."""

    def take(self, sender, message, now):
        self.lease_until = float("inf")
        _handle_call(self, sender, message, now)

    return patch.object(ShardReplica, "_handle_call", take)


PROTECTIONS = {
    "write to all": answer_before_backups,
    "record before send": send_without_record,
    "empty serves nothing": serve_when_empty,
    "unknown stays unknown": run_again_after_silence,
    "repaired means copied": count_before_copying,
    "one running turn": begin_twice,
    "lapsed calls are charged": forget_budget,
    "not run is known": say_not_run_unanswered,
    "act under a lease": act_without_lease,
    "fenced views": take_any_view,
}

# Runs under which a protection matters often enough to show within few seeds.
OPTIONS = {
    "not run is known": {"ask_timeout_s": 0.02},
    "act under a lease": {"kinds": ("cut",)},
}
