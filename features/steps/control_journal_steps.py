import tempfile
from pathlib import Path

from behave import given, then, when

from burdockwall.process.control.events import ReplicaRole
from burdockwall.process.control.files import StorageError
from burdockwall.process.control.opening import bootstrap_replica, open_replica
from burdockwall.process.control.state import ControlState
from burdockwall.settings import Settings
from burdockwall.types import InstanceId
from features.subjects.control_cluster import ControlCluster
from features.subjects.control_journal import check_journal


@then("{examples:d} generated control journal histories match the model")
def step_check(context, examples):
    check_journal(examples)


@given("a control replica in a data folder")
def step_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings = Settings(data_folder=Path(folder.name))
    bootstrap_replica(context.settings)


def open_expecting_error(context):
    try:
        open_replica(context.settings, ControlState())
    except StorageError as error:
        context.error = error
    else:
        raise AssertionError("the replica was opened")


@when("the control data folder is emptied and the replica is opened")
def step_empty(context):
    for path in context.settings.data_folder.iterdir():
        path.unlink()
    open_expecting_error(context)


@when("the control replica is opened by another instance")
def step_other(context):
    context.settings.instance_id = InstanceId("other")
    open_expecting_error(context)


@when("the control replica is opened twice")
def step_twice(context):
    context.replica = open_replica(context.settings, ControlState())
    open_expecting_error(context)


@then("the control storage error is {number:d}")
def step_check_error(context, number):
    assert context.error.code.value.number == number, context.error


@when("the control replica's disk is full and a change is proposed")
def step_full(context):
    context.cluster = ControlCluster(1, voters=1)
    context.cluster.run(3.0)
    node = context.cluster.find_leader()
    node.files.space_left = 10
    context.cluster.propose(node, context.cluster.build_command(node))
    context.cluster.run(1.0, calls_per_s=1.0)


@then("the control replica has failed and refuses changes")
def step_check_failed(context):
    cluster = context.cluster
    (node,) = cluster.nodes.values()
    assert node.replica.consensus.state.role is ReplicaRole.FAILED
    before = cluster.observed.refused
    cluster.propose(node, cluster.to_resend[0])
    assert cluster.observed.refused == before + 1


@when("a control voter is killed at each of its first {count:d} file operations")
def step_kill(context, count):
    context.clusters = []
    for number in range(1, count + 1):
        cluster = ControlCluster(number, voters=1)
        (node,) = cluster.nodes.values()
        node.files.crash_at_operation = node.files.operations + number
        limit = cluster.network.now + 60.0
        while cluster.is_up(node) and cluster.network.now < limit:
            cluster.run(1.0)
        assert not cluster.is_up(node), f"operation {number} was not reached"
        context.clusters.append(cluster)


@then("every control voter has all changes that it acknowledged")
def step_check_killed(context):
    for cluster in context.clusters:
        cluster.settle(3.0)
    assert sum(len(item.observed.acknowledged) for item in context.clusters) > 1000
