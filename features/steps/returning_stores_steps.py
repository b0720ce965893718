from behave import given, then, when
from msgspec.structs import replace

from features.subjects.returned_files import build_record, use_small_segments
from features.subjects.returning_stores import (
    GROUP_SEGMENT_BYTES,
    BusySources,
    ReturningStores,
    SilentSource,
    TwiceWrittenRecord,
    VanishedRecord,
)


@given("three stores whose turns expire soon, seed {seed:d}")
def step_stores(context, seed):
    with use_small_segments(GROUP_SEGMENT_BYTES):
        context.stores = ReturningStores(seed)


@when("most turns have expired, and all stores lose power at the same time")
def step_lose_power(context):
    with use_small_segments(GROUP_SEGMENT_BYTES):
        context.stores.live()
        context.stores.lose_power()


@when("each store has several files, and another one of them is damaged at each")
def step_damage(context):
    with use_small_segments():
        context.stores.live_briefly()
        context.stores.damage()


@then("{count:d} stores are complete at once")
def step_complete(context, count):
    complete = context.stores.count_complete()
    assert complete == count, complete


@then("the program that went on gets its chain after {after_s:d} s")
def step_chain(context, after_s):
    with use_small_segments(GROUP_SEGMENT_BYTES):
        chain = context.stores.find_chain(after_s)
    assert chain == " ".join(context.stores.chain), chain


@given("a store that has read a record twice from its files")
def step_twice(context):
    context.store = TwiceWrittenRecord()


@then("after each of {seconds:d} s its index lists only what it holds")
def step_index(context, seconds):
    for second in range(1, seconds + 1):
        listed = context.store.list_keys_without_record(float(second))
        assert not listed, (second, listed)


@given("a store that lost its disk, and two that no longer have a record they list")
def step_vanished(context):
    context.store = VanishedRecord()


@given("a store that lost its disk, and two that list a record, one of them silent")
def step_silent(context):
    context.store = SilentSource()


@given("a store that lost its disk, and two that list new records all the time")
def step_busy(context):
    context.store = BusySources()


@when("{count:d} MB of records wait for its disk, and they answer for {seconds:d} s")
def step_backlog(context, count, seconds):
    record = replace(build_record("large"), prompt=bytes(count * 1_000_000))
    context.store.ledger.add(record, 0.0)
    context.store.run(seconds, names_absent=False)


@then("at most {count:d} questions for records were open at a time")
def step_open_questions(context, count):
    assert 0 < context.store.most_waiting <= count, context.store.most_waiting


@then("the store has asked for no record")
def step_no_question(context):
    assert context.store.most_waiting == 0, context.store.most_waiting


@then("the store has the record")
def step_has_record(context):
    assert context.store.holds_record()


@when("they answer for {seconds:d} s that they no longer have it")
def step_answer_absent(context, seconds):
    context.store.run(seconds, names_absent=True)


@when("they answer for {seconds:d} s without a word about it")
def step_answer_silent(context, seconds):
    context.store.run(seconds, names_absent=False)


@then("the store is complete")
def step_is_complete(context):
    assert context.store.ledger.state.complete


@then("the store has asked at most {count:d} times")
def step_asked(context, count):
    assert context.store.sent <= count, context.store.sent
