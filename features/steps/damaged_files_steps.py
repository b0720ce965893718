from behave import then, when

from features.subjects.damaged_files import (
    STORE_RECORDS,
    read_kept_copy,
    recover_store,
    run_control,
    run_store,
    tear_last_write,
)


@when("{count:d} damaged folders of a control instance are opened, from seed {seed:d}")
def step_control(context, count, seed):
    context.outcomes = run_control(range(seed, seed + count))


@when("{count:d} damaged folders of a store are opened, from seed {seed:d}")
def step_store(context, count, seed):
    context.outcomes = run_store(range(seed, seed + count))


@then("each gives a StorageError that names a file, or all that was acknowledged")
@then(
    "each gives a StorageError that names a file, or says that records may be missing"
)
def step_defined(context):
    assert not context.outcomes.faults, context.outcomes.faults[:5]
    assert len(context.outcomes.counts) > 2, context.outcomes.counts


@when("the last file of a store is cut within its last record")
def step_cut(context):
    context.recovered = recover_store(lambda data: data[:-3])


@when(
    "a store loses power while it writes 3 records, and only their end is in its file"
)
def step_tear(context):
    context.recovered = tear_last_write(3)


@then("the store counts as whole, without these records")
def step_whole_without(context):
    assert context.recovered == (STORE_RECORDS, True), context.recovered


@when("a byte of the first record in the first file of a store is flipped")
def step_flip(context):
    context.recovered = recover_store(
        lambda data: data[:20] + bytes([data[20] ^ 1]) + data[21:], position=0
    )


@then("the store counts as whole, without that record")
def step_whole(context):
    assert context.recovered == (STORE_RECORDS - 1, True), context.recovered


@then("the store does not count as whole")
def step_not_whole(context):
    assert context.recovered[1] is False, context.recovered


@when(
    "a byte of an audit record in the middle of its file is flipped, with seed {seed:d}"
)
def step_audit(context, seed):
    context.copies = read_kept_copy(seed)


@then("a copy of the file is kept")
def step_copy(context):
    damaged, kept = context.copies
    assert damaged == kept
