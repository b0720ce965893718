import subprocess
import sys

from behave import given, then, when

from features.subjects.control_bounds import (
    MB,
    NAME,
    DiskReplica,
    DocumentCluster,
    RefusedSubmissions,
    StoringSite,
    build_history,
)

MIB = 1_048_576


@when("{count:d} documents of {size:d} bytes are stored on the disk of one voter")
def step_store(context, count, size):
    context.subject = DiskReplica()
    context.subject.store(count, size)


@then("it has allocated at most {memory:d} MB and written files of at most {disk:d} MB")
def step_check_peaks(context, memory, disk):
    subject = context.subject
    context.bounds = memory * MB, disk * MB
    peaks = subject.peak_bytes, subject.peak_disk_bytes
    assert peaks[0] <= memory * MB and peaks[1] <= disk * MB, peaks


@then("it is restarted within the same bounds and holds the last document")
def step_restart(context):
    subject = context.subject
    subject.restart()
    peaks = subject.peak_bytes, subject.peak_disk_bytes
    memory, disk = context.bounds
    assert peaks[0] <= memory and peaks[1] <= disk, peaks
    assert subject.replica.state.documents[NAME].data == subject.last.data


@given("3 control replicas that store documents of {size:d} bytes")
def step_create(context, size):
    context.cluster = DocumentCluster(size)


@when("one is down for {count:d} changes and then back while {more:d} more are made")
def step_hold_down(context, count, more):
    context.cluster.hold_down(count, more)


@when(
    "one has lost its disk and joins over a slow link while {count:d} changes are made"
)
def step_join(context, count):
    context.cluster.join_slowly(count)


@when("their leader is cut off and {count:d} documents are sent to it at once")
def step_cut(context, count):
    context.cluster.send_to_cut_leader(count)


@when("one crashes at {count:d} steps of its writes while documents change")
def step_crash(context, count):
    context.cluster.crash_while_writing(count)


@then("every change is acknowledged within {seconds:d} s")
def step_check_slowest(context, seconds):
    assert context.cluster.slowest_s <= seconds, context.cluster.slowest_s


@then("every control replica keeps at most {memory:d} MB and {disk:d} MB of files")
def step_check_kept(context, memory, disk):
    kept, files = context.cluster.kept_bytes, context.cluster.measure_disk()
    assert kept <= memory * MB and files <= disk * MB, (kept, files)


@then("all control replicas hold the last document")
def step_check_last(context):
    assert context.cluster.holds_last()


@then("it has caught up before the last change")
def step_check_joined(context):
    assert context.cluster.behind <= 1, context.cluster.behind


@then("the refused documents are stored once the leader is back")
def step_check_resent(context):
    cluster = context.cluster
    assert cluster.observed.refused > 0
    cluster.network.heal()
    cluster.network.run_until(cluster.network.now + 4.0)
    cluster.change()
    assert cluster.holds_last()


@given("{count:d} control instances on loopback that store document 5")
def step_create_site(context, count):
    context.subject = StoringSite(count)


@when("it is sent again, under number 4, with a wrong token, and then under number 6")
def step_put_repeatedly(context):
    context.subject.actions.append(context.subject.put_repeatedly)
    context.subject.run()


@then("only the last two were appended to the log of the control instance")
def step_check_log(context):
    assert context.subject.grown == [1, 0, 0, 1, 1], context.subject.grown


@then("the control instance answered them with 0, 0, 2004 and 0, and holds document 6")
def step_check_codes(context):
    assert context.subject.codes == [0, 0, 0, 2004, 0], context.subject.codes
    assert context.subject.held == 6


@when("it is sent again to the leader after the others have stopped")
def step_put_without_majority(context):
    context.subject.actions.append(context.subject.put_without_majority)
    context.subject.run()


@then("the control instance answered it with 2014")
def step_check_no_quorum(context):
    assert context.subject.codes == [0, 2014], context.subject.codes


@when("{count:d} configurations of {size:d} bytes that hardly compress come in turn")
def step_build_history(context, count, size):
    context.configurations = build_history(count, size)


@then("at most {size:d} MiB of them are kept, the last two among them")
def step_check_history(context, size):
    history = context.configurations.history
    kept = sum(len(stored.text) for stored in history)
    assert kept <= size * MIB, kept
    assert [stored.version for stored in history][-2:] == [15, 16]


@then("the last one is kept")
def step_check_single(context):
    assert len(context.configurations.history) == 1


@when("{count:d} submissions are refused for a reason of {size:d} characters")
def step_refuse(context, count, size):
    context.refused = RefusedSubmissions(count, size)
    assert all(
        outcome.code and len(outcome.detail) >= size
        for outcome in context.refused.outcomes
    )


@then("their outcomes take at most {size:d} MiB")
def step_check_outcomes(context, size):
    assert context.refused.measure() <= size * MIB, context.refused.measure()


@then("the last submission gets its first outcome when it is sent again")
def step_check_again(context):
    assert context.refused.again == context.refused.outcomes[-1]


@when("a control process encodes and decodes 60 entries of 4 MiB and holds the last 4")
def step_run_memory(context):
    command = [sys.executable, "-m", "features.subjects.control_memory"]
    done = subprocess.run(command, check=True, capture_output=True, timeout=60)
    context.share = float(done.stdout.split()[-1])


@then("its memory grows by at most {share:f} of what these take")
def step_check_share(context, share):
    assert context.share <= share, context.share
