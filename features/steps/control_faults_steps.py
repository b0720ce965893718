from behave import given, then, when

from burdockwall.process.control.consensus_state import COMPACT_ENTRIES
from features.subjects.control_faults import run_seed
from features.subjects.control_protections import find_failure


@when('a control cluster runs with "{kind}" from seeds {first:d} to {last:d}')
def step_run_seeds(context, kind, first, last):
    context.clusters = [run_seed(kind, seed) for seed in range(first, last + 1)]


@then("the control invariants hold and changes were acknowledged")
def step_check_runs(context):
    observed = [cluster.observed for cluster in context.clusters]
    assert all(item.acknowledged for item in observed)
    assert all(item.leaders for item in observed)
    assert sum(item.reads for item in observed) > len(observed)


@given('control protection "{name}" is off')
def step_disable_protection(context, name):
    context.protection = name


@then("a control run of {seeds:d} seeds fails")
def step_check_failure(context, seeds):
    failure = find_failure(context.protection, seeds)
    assert failure is not None, "no run failed"
    print(f"{context.protection}: {failure}")


@then("the control leader changed in some runs")
def step_check_leaders(context):
    observed = [cluster.observed for cluster in context.clusters]
    assert sum(len(item.leaders) for item in observed) > len(observed)


@then("snapshots were written before the bound on entries")
def step_check_snapshots(context):
    states = [
        node.replica.consensus.state
        for cluster in context.clusters
        for node in cluster.nodes.values()
    ]
    assert all(state.log.last_index < COMPACT_ENTRIES for state in states)
    assert sum(state.snapshot_index > 0 for state in states) > len(states) / 2
