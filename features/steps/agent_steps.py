import msgspec
from behave import given, then, when

from burdockwall.machine import Receive, Send, Tick
from burdockwall.process.control.changes import Change
from burdockwall.process.control.state import ControlState
from burdockwall.process.membership.agent import Agent
from burdockwall.process.membership.detection import Detector
from burdockwall.process.membership.member_list import MemberList
from burdockwall.process.membership.messages import (
    Grant,
    InstanceDetails,
    MemberEntry,
    MemberListVersion,
    MemberSnapshot,
    NotLeader,
    Report,
    StateChanges,
)
from burdockwall.process.membership.records import MemberRecord
from burdockwall.process.membership.registrar import Registrar
from burdockwall.process.membership.source import SoleSource
from burdockwall.types import (
    Address,
    EndpointState,
    FailureDomain,
    Incarnation,
    InstanceId,
    MemberNumber,
    Role,
    Term,
    Version,
)

CONTROL = InstanceId("control-1")


def create_agent(control):
    details = InstanceDetails(
        InstanceId("entry-1"),
        Incarnation(1),
        Role.ENTRY,
        "r",
        FailureDomain("a"),
        Address("127.0.0.1:1"),
        Address("127.0.0.1:2"),
    )
    return Agent(details, control)


@given("an instance that reports to a control instance")
def step_agent(context):
    context.agent = create_agent([CONTROL])
    context.now = 10.0
    assert count_reports(context.agent.handle(Tick(), context.now)) == 1
    record_earlier_grant(context)


@given("an instance that reports to three control instances")
def step_agent_of_three(context):
    context.agent = create_agent([InstanceId(f"control-{n}") for n in (1, 2, 3)])
    context.now = 10.0
    assert list_targets(context.agent.handle(Tick(), context.now)) == [CONTROL]
    record_earlier_grant(context)


@given("an instance that has just started, with three control instances")
def step_started_agent(context):
    context.agent = create_agent([InstanceId(f"control-{n}") for n in (1, 2, 3)])
    context.now = 10.0
    context.targets = list_targets(context.agent.handle(Tick(), context.now))


@when("the first is not up, and the second knows no leader")
def step_no_leader_yet(context):
    until = context.now + 1.0
    while context.now < until and InstanceId("control-3") not in context.targets:
        context.now += 0.01
        sent = list_targets(context.agent.handle(Tick(), context.now))
        context.targets += sent
        if InstanceId("control-2") in sent:
            event = Receive(InstanceId("control-2"), NotLeader(None))
            context.targets += list_targets(context.agent.handle(event, context.now))


@then("the instance has asked the third within {limit_s:f} s")
def step_asked_third(context, limit_s):
    assert InstanceId("control-3") in context.targets, context.targets
    assert context.now - 10.0 <= limit_s, context.now


@then("it asks at most {most:d} times in {seconds:d} s while there is no leader")
def step_asks_rarely(context, most, seconds):
    until = context.now + seconds
    asked = []
    while context.now < until:
        context.now += 0.01
        sent = list_targets(context.agent.handle(Tick(), context.now))
        for target in sent:
            context.agent.handle(Receive(target, NotLeader(None)), context.now)
        asked += sent
    assert len(asked) <= most, len(asked)


def record_earlier_grant(context):
    """Make the instance one that a leader has granted a lease since its start."""
    sequence = 999
    grant = Grant(Term(1), CONTROL, Incarnation(1), sequence, Version(0))
    context.agent.handle(Receive(CONTROL, grant), context.now)


def list_targets(actions):
    return [
        action.to
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, Report)
    ]


@when("the first control instance is silent for {seconds:f} s")
def step_silent(context, seconds):
    until = context.now + seconds
    targets = []
    while context.now < until:
        context.now += 0.1
        targets += list_targets(context.agent.handle(Tick(), context.now))
    assert targets[-1] == InstanceId("control-2"), targets


@when("the second control instance answers that the first one leads")
def step_leader_named(context):
    event = Receive(InstanceId("control-2"), NotLeader(CONTROL))
    context.targets = list_targets(context.agent.handle(event, context.now))


@then("the instance reports to the first one immediately")
def step_reports(context):
    assert context.targets == [CONTROL], context.targets


def count_reports(actions):
    return len(list_targets(actions))


@when("the control instance answers that it knows no leader")
def step_not_leader(context):
    context.agent.handle(Receive(CONTROL, NotLeader(None)), context.now)


@then("the instance reports again within {limit_s:f} s")
def step_again(context, limit_s):
    until = context.now + limit_s
    reports = 0
    while context.now < until:
        context.now += 0.1
        reports += count_reports(context.agent.handle(Tick(), context.now))
    assert reports == 1, reports


class ChangingSource(SoleSource):
    """Control source that is the leader while `leads` is set."""

    leads = False

    def is_leader_confirmed(self, now):
        return self.leads


@given("a registrar whose agent's member list has two members")
def step_registrar(context):
    member_list = MemberList()
    members = [
        MemberEntry(
            MemberNumber(number),
            msgspec.structs.replace(
                create_agent([CONTROL]).details, instance=InstanceId(f"entry-{number}")
            ),
        )
        for number in (1, 2)
    ]
    member_list.install_snapshot(MemberSnapshot(MemberListVersion(Term(1), 3), members))
    context.source = ChangingSource(CONTROL, ControlState())
    context.registrar = Registrar(CONTROL, context.source, member_list)
    assert context.registrar.handle(Tick(), 1.0) == []


@when("it becomes the leader of the second term")
def step_leads(context):
    context.source.leads = True
    context.source.term = Term(2)


@then("it names the leader to both members within {limit_s:f} s, once")
def step_named(context, limit_s):
    named = []
    for step in range(10):
        actions = context.registrar.handle(Tick(), 1.1 + step * 0.1)
        targets = [
            action.to
            for action in actions
            if isinstance(action, Send) and isinstance(action.message, NotLeader)
        ]
        assert not targets or step * 0.1 <= limit_s
        named += targets
    assert sorted(named) == ["entry-1", "entry-2"], named


@given("a registrar that has refused a report without naming a leader")
def step_refused_report(context):
    context.source = ChangingSource(CONTROL, ControlState())
    context.source.leader = None
    context.registrar = Registrar(CONTROL, context.source, MemberList())
    report = Receive(
        InstanceId("entry-1"),
        Report(Incarnation(1), 1, Version(0), MemberListVersion()),
    )
    actions = context.registrar.handle(report, 1.0)
    assert actions == [Send(InstanceId("entry-1"), NotLeader(None))], actions


@when("it learns that another control instance leads")
def step_learns(context):
    context.source.leader = InstanceId("control-2")
    ticks = [context.registrar.handle(Tick(), 1.1 + step * 0.1) for step in range(5)]
    context.hints = [action for actions in ticks for action in actions]


@then("it names the leader to the sender of the report, once")
def step_named_once(context):
    hint = Send(InstanceId("entry-1"), NotLeader(InstanceId("control-2")))
    assert context.hints == [hint], context.hints


@given("an instance whose report was refused by a leader that was not yet elected")
def step_refused_by_leader(context):
    context.now = 1.0
    context.agent = create_agent([CONTROL, InstanceId("control-2")])
    context.agent.handle(Tick(), context.now)
    other = Receive(InstanceId("control-2"), NotLeader(CONTROL))
    assert list_targets(context.agent.handle(other, context.now)) == [CONTROL]
    context.agent.handle(Receive(CONTROL, NotLeader(None)), context.now)


@when("that leader names itself")
def step_names_itself(context):
    event = Receive(CONTROL, NotLeader(CONTROL))
    context.targets = list_targets(context.agent.handle(event, context.now))


@then("the instance reports to the leader immediately")
def step_reports_to_leader(context):
    assert context.targets == [CONTROL], context.targets


@given("the records of a fleet of {members:d} members, of which one is silent")
def step_fleet(context, members):
    details = create_agent([CONTROL]).details
    context.records = {}
    for number in range(members):
        named = msgspec.structs.replace(details, instance=InstanceId(f"i{number}"))
        entry = MemberEntry(MemberNumber(number), named)
        context.records[MemberNumber(number)] = MemberRecord(entry, 0.0, 0.0)


@then(
    "that member is suspected after {early_s:f} to {late_s:f} s, and no other is"
    " suspected"
)
def step_suspected(context, early_s, late_s):
    detector, suspected_at = Detector(), None
    for step in range(int(late_s / 0.1) + 10):
        now = step * 0.1
        for number, record in context.records.items():
            if number and step % 10 == 0:
                record.record_heartbeat(Version(0), False, now)
        for entry in detector.find_changes(context.records, None, now).changed:
            assert entry.number == 0 and entry.state is EndpointState.SUSPECTED
            context.records[entry.number].entry = entry
            suspected_at = suspected_at or now
    assert early_s <= suspected_at <= late_s, suspected_at


@when('a grant names a later version, which "{sender}" delivers {late_s:g} s later')
def step_deliver_late(context, sender, late_s):
    grant = Grant(Term(2), CONTROL, Incarnation(1), 1, Version(5))
    context.agent.handle(Receive(CONTROL, grant), context.now)
    context.now += late_s
    changes = StateChanges(Version(0), Version(5), [Change(Version(5))])
    context.agent.handle(Receive(InstanceId(sender), changes), context.now)


@then('the instance has it from "{sender}", awaited for {late_s:g} s')
def step_delivered(context, sender, late_s):
    delivery = context.agent.delivery
    assert (delivery.sender, delivery.at) == (sender, context.now), delivery
    assert abs(delivery.awaited_s - late_s) < 0.001, delivery
