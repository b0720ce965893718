import anyio
from behave import given, then, when

from burdockwall.connection.memory import PROGRESS_BYTES
from burdockwall.process.storage.room import StoreRoom
from features.subjects.memory_account import (
    SOON_S,
    AccountSubject,
    StoreRoomSubject,
)


@given("room for {limit:d} bytes")
def step_room(context, limit):
    context.account = AccountSubject(limit)


def add(context, action):
    context.account.actions.append(action)


def check(context, condition):
    async def act(group):
        await anyio.sleep(SOON_S)
        assert condition(), (context.account.got, context.account.refused)

    add(context, act)


@when('"{name}" takes {size:d} bytes')
def step_take(context, name, size):
    async def act(group):
        await context.account.take(name, size)
        assert name in context.account.got

    add(context, act)


@when('the owner "{owner}" takes {size:d} bytes as "{name}"')
def step_take_of_owner(context, name, size, owner):
    async def act(group):
        await context.account.take(name, size, owner)
        assert name in context.account.got

    add(context, act)


@when('"b" asks for {first:d} bytes, "c" for {second:d} and "d" for {third:d}')
def step_ask(context, first, second, third):
    async def act(group):
        for name, size in (("b", first), ("c", second), ("d", third)):
            group.start_soon(context.account.take, name, size)
            await anyio.sleep(SOON_S)

    add(context, act)


@then('"d" has its room, and "b" and "c" wait')
def step_check_small(context):
    check(context, lambda: context.account.got == {"a", "d"})


@when('"a" gives its room back')
def step_give_back(context):
    async def act(group):
        context.account.shares["a"].close()

    add(context, act)


@then('"b" has its room, and "c" waits')
def step_check_order(context):
    check(context, lambda: context.account.got == {"a", "b", "d"})
    context.account.run()


@then('"{name}" gets no {size:d} bytes within the time to wait')
@then('"{name}" gets no {size:d} bytes at once')
def step_get_none(context, name, size):
    async def act(group):
        with anyio.fail_after(2.0 if "a" not in name else SOON_S):
            await context.account.take(name, size)
        assert name in context.account.refused

    add(context, act)
    if name == "a":
        context.account.run()


@then('the owner "{owner}" gets no {size:d} bytes as "{name}" within the time to wait')
def step_owner_gets_none(context, name, owner, size):
    async def act(group):
        await context.account.take(name, size, owner)
        assert name in context.account.refused

    add(context, act)


@then('"{name}" gets {size:d} bytes')
def step_get(context, name, size):
    step_take(context, name, size)
    context.account.run()


@then('the owner "{owner}" gets {size:d} bytes as "{name}"')
def step_owner_gets(context, name, owner, size):
    step_take_of_owner(context, name, size, owner)
    context.account.run()


@when('"{name}" takes {size:d} bytes and waits for its caller')
def step_stall(context, name, size):
    async def act(group):
        await context.account.take(name, size)
        context.account.shares[name].begin_wait()

    add(context, act)


@when('"{name}" takes {size:d} bytes and waits for its caller, which sends on')
def step_send_on(context, name, size):
    async def act(group):
        await context.account.take(name, size)
        context.account.shares[name].begin_wait()
        group.start_soon(context.account.send_on, name)

    add(context, act)


@then('"{name}" gets {size:d} bytes, and "{stalled}" was given up')
def step_give_up(context, name, size, stalled):
    step_take(context, name, size)
    check(context, lambda: context.account.given_up == [stalled])


@when(
    '"{name}" takes {size:d} bytes, gets bytes of its caller, and waits for its '
    "endpoint"
)
def step_wait_for_endpoint(context, name, size):
    async def act(group):
        await context.account.take(name, size)
        context.account.shares[name].record_progress(10 * PROGRESS_BYTES)

    add(context, act)


@then("nobody was given up")
def step_check_nobody(context):
    context.account.run()
    assert not context.account.given_up, context.account.given_up


@then('"b" and "c" were not given up')
def step_check_kept(context):
    context.account.run()
    assert context.account.given_up == ["a"], context.account.given_up


@given("a store with room for {limit:d} bytes")
def step_store(context, limit):
    context.store = StoreRoomSubject(StoreRoom(limit))


@when("turns of {size:d} bytes begin until one is refused")
def step_begin(context, size):
    context.size = size
    while context.store.begin(size):
        pass


@then("{count:d} have begun, and a turn of {size:d} bytes still begins")
def step_check_begun(context, count, size):
    assert len(context.store.begun) == count, context.store.begun
    assert context.store.begin(size)


@when("the first of them ends")
def step_end(context):
    context.reserved_bytes = context.store.room.reserved_bytes
    context.stored_bytes = context.store.end_first(context.size)


@then("its reservation counts no more, and its record does")
def step_check_ended(context):
    room = context.store.room
    assert room.reserved_bytes <= context.reserved_bytes - context.size
    assert room.stored_bytes == context.stored_bytes


@then("after {seconds:d} seconds no reservation is left")
def step_check_expired(context, seconds):
    context.store.room.expire(float(seconds))
    assert context.store.room.reserved_bytes == 0
