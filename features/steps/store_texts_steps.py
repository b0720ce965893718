from behave import given, then, when

from burdockwall.process.control.files import StorageError
from burdockwall.process.storage.journal import name_segment
from features.subjects.store_texts import TextStore

BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_000


def build_text(number, size):
    return str(number).encode().rjust(size * BYTES_PER_KB)


def store_turn(context, size):
    text = build_text(len(context.texts), size)
    taken = context.store.store_turn(text)
    if taken:
        context.texts.append(text)
    return taken


@given("a store with room for {count:d} MB of records in memory")
def step_text_store(context, count):
    context.store = TextStore(count * BYTES_PER_MB)
    context.texts = []


@given("a store with room for {count:d} MB in memory, and {disk:d} MB on its disk")
def step_disk_store(context, count, disk):
    context.store = TextStore(count * BYTES_PER_MB, disk * BYTES_PER_MB)
    context.texts = []


@when("a program stores {count:d} turns of {size:d} KB")
def step_store_turns(context, count, size):
    for _ in range(count):
        store_turn(context, size)


@when("a program stores a turn of {size:d} KB each second, for {seconds:d} s")
def step_store_slowly(context, size, seconds):
    for _ in range(seconds):
        assert store_turn(context, size)
        context.store.pass_time(1)


@when("a program stores turns of {size:d} KB until one is refused")
def step_store_until_refused(context, size):
    while store_turn(context, size):
        pass


@when("the store loses power and starts again")
def step_lose_power(context):
    context.store.lose_power()


@when("a bit of the first turn's text is flipped")
def step_flip(context):
    context.store.damage_files()


@when("{seconds:d} s have passed at the store")
def step_pass(context, seconds):
    context.store.pass_time(seconds)


@then("none was refused, and the store held at most {count:d} MB in memory")
def step_none_refused(context, count):
    assert not context.store.refused, context.store.refused
    assert context.store.most_bytes <= count * BYTES_PER_MB, context.store.most_bytes


@then("the program's chain is whole")
def step_chain(context):
    chain = context.store.find_chain()
    assert chain == context.texts, (chain is None, len(context.texts))


@then("the store has removed its first files")
def step_removed(context):
    assert name_segment(1) not in context.store.files.list_names()


@then("the files take at most {count:d} MB")
def step_files(context, count):
    size = context.store.journal.size_bytes
    assert size <= count * BYTES_PER_MB, size


@then("a turn of {size:d} KB is taken")
def step_taken(context, size):
    context.store.ended.clear()
    assert store_turn(context, size)


@then("reading the chain fails with {code:d}")
def step_damaged(context, code):
    try:
        context.store.find_chain()
    except StorageError as error:
        assert error.code.value.number == code, error
        return
    raise AssertionError("the chain was read")
