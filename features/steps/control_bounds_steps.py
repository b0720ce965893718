from behave import given, then, when

from features.subjects.control_bounds import MB, NAME, DiskReplica, DocumentCluster


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
