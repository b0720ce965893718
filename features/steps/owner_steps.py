import random

from behave import given, then, when

from burdockwall.fakes.files import FakeFiles
from burdockwall.machine import Receive, Tick
from burdockwall.process.limits.events import LimitsInstalled
from burdockwall.process.limits.leader import build_leader_shards
from burdockwall.process.limits.messages import LimitDemand, LimitGrants, LimitWant
from burdockwall.process.limits.owner import LimitOwner
from burdockwall.process.limits.units import UNITS_PER_REQUEST, create_parameters
from burdockwall.process.storage.journal import LedgerJournal
from burdockwall.process.storage.records import LedgerRecord, RecordKind
from burdockwall.settings import Settings
from burdockwall.types import (
    CustomerId,
    Incarnation,
    InstanceId,
    ProgramId,
    Term,
    TurnId,
)
from burdockwall.version.shards import LeaseRenewed, ShardsInstalled
from features.subjects.fallback_shares import create_limit

CUSTOMER = CustomerId("one")
HOLDER = InstanceId("front-1")
LEADER = InstanceId("core-1")
LATER, EARLIER = Incarnation(10), Incarnation(5)


def ask(context, incarnation):
    context.sequence += 1
    want = LimitWant(CUSTOMER, UNITS_PER_REQUEST, UNITS_PER_REQUEST)
    demand = LimitDemand(incarnation, context.sequence, Incarnation(0), 0, [want], [])
    sends = context.owner.handle(Receive(HOLDER, demand), context.now)
    return any(
        isinstance(send.message, LimitGrants) and send.message.grants for send in sends
    )


@given("an owner of rates that has granted units to an instance")
def step_owner(context):
    parameters = create_parameters(Settings())
    context.owner = LimitOwner(
        LEADER, Incarnation(1), parameters, parameters.start_wait_s
    )
    context.now, context.sequence = 0.0, 0
    limit = create_limit(100, 100)
    shards = build_leader_shards(LEADER, Term(1))
    for event in (
        LimitsInstalled({CUSTOMER: limit}),
        ShardsInstalled(shards),
        LeaseRenewed(1000.0),
    ):
        context.owner.handle(event, context.now)
    context.now = 5.0
    context.owner.handle(Tick(), context.now)
    assert ask(context, LATER)


@when("the instance starts again with a lower incarnation")
def step_restart(context):
    context.sequence = 0


@then("it is granted nothing at once")
def step_nothing(context):
    assert not ask(context, EARLIER)


@then("it is granted something {seconds:f} s later")
def step_granted(context, seconds):
    context.now += seconds
    assert ask(context, EARLIER)


def build_record(turn):
    return LedgerRecord(
        RecordKind.RESERVED, CUSTOMER, ProgramId("p"), TurnId(turn), 1, 60_000
    )


@given("a store's files with one record")
def step_files(context):
    context.files = FakeFiles(random.Random(1))
    context.journal = LedgerJournal(context.files)
    context.journal.recover()
    context.journal.write([build_record("a")])


@when("the disk is full and another record is written")
def step_full(context):
    context.files.space_left = 10
    try:
        context.journal.write([build_record("b")])
    except OSError as error:
        context.error = error


@then("the write fails")
def step_failed(context):
    assert isinstance(context.error, OSError)


@when("the disk has room again and the record is written once more")
def step_room(context):
    context.files.space_left = None
    context.journal.write([build_record("b")])


@then("both records are found after a power loss")
def step_found(context):
    context.files.crash()
    found = LedgerJournal(context.files).recover()
    assert [record.turn for record in found.records] == ["a", "b"], found
