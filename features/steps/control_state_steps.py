import random

import msgspec
from behave import given, then, when

from burdockwall.errors import OperatorError
from burdockwall.process.control.audit import AuditFilter, filter_audit, verify_audit
from burdockwall.process.control.changes import MAX_CHANGES
from burdockwall.process.control.configurations import (
    MAX_CONFIGURATIONS,
    SectionChecker,
    check_sections,
)
from burdockwall.process.control.sections import split_sections
from burdockwall.process.control.shortening import shorten_submission
from burdockwall.process.control.state import (
    MAX_AUDIT_RECORDS,
    MAX_OUTCOMES,
    decode_state,
)
from features.subjects.control_state import (
    ControlStateSubject,
    build_random_text,
    print_customers,
)


@given('a control state with customers "{names}"')
def step_state(context, names):
    context.subject = ControlStateSubject()
    context.subject.apply(context.subject.build_submit(print_customers(names)))
    context.subject.outcomes.clear()


@given('a control operator "{name}" who may only issue keys for "{customer}"')
def step_operator(context, name, customer):
    context.subject.define_operators(name, customer)
    context.subject.outcomes.clear()


@when('control operators "{first}" and "{second}" submit on the same version')
def step_race(context, first, second):
    subject = context.subject
    version = subject.state.version
    for position, name in enumerate((first, second)):
        text = print_customers("a b", position + 1)
        subject.apply(subject.build_submit(text, version, name))


@then('the control answers of "{names}" are "{codes}"')
def step_check_race(context, names, codes):
    assert [item.code for item in context.subject.outcomes] == [
        int(code) for code in codes.split()
    ]


@then('the control conflict names "{name}" and version {version:d}')
def step_check_conflict(context, name, version):
    detail = context.subject.outcomes[-1].detail
    assert name in detail and f"version {version}" in detail, detail


@when(
    'control operator "{name}" issues key {number:d} for "{customer}" '
    "before submitting on version {version:d}"
)
def step_issue_then_submit(context, name, number, customer, version):
    subject = context.subject
    subject.apply(subject.build_issue(customer, number, name))
    subject.apply(subject.build_submit(print_customers("a b"), version, name))


@then("the last control answer is {code:d}")
def step_check_last(context, code):
    assert context.subject.outcomes[-1].code == code


@when("a control submission is resent, and sent again with another text")
def step_resend(context):
    subject = context.subject
    first = subject.build_submit(print_customers("a b"), 1, submission="one")
    other = subject.build_submit(print_customers("a c"), 1, submission="one")
    for command in (first, first, other):
        subject.apply(command)


@then("both control answers are equal and the third is {code:d}")
def step_check_resend(context, code):
    first, second, third = context.subject.outcomes
    assert first == second and first.code == 0
    assert third.code == code
    assert context.subject.state.version == 2


@when(
    'control customers become "{names}" and the control state is rolled back '
    "to version {version:d}"
)
def step_roll_back(context, names, version):
    subject = context.subject
    subject.first_text = subject.state.text
    subject.apply(subject.build_submit(print_customers(names)))
    subject.apply(subject.build_rollback(version))


@then("control version {version:d} holds the text of version {target:d}")
def step_check_rollback(context, version, target):
    state = context.subject.state
    assert state.version == version
    assert state.text == context.subject.first_text


@when('control operator "{name}" submits, issues for "{own}" and issues for "{other}"')
def step_try(context, name, own, other):
    subject = context.subject
    subject.apply(subject.build_submit(print_customers("a"), operator=name), name)
    subject.apply(subject.build_issue(own, 1, name), name)
    subject.apply(subject.build_issue(other, 2, name), name)


@then('the last control answers are "{codes}"')
def step_check_answers(context, codes):
    expected = [int(code) for code in codes.split()]
    found = [item.code for item in context.subject.outcomes][-len(expected) :]
    assert found == expected, context.subject.outcomes


@then(
    'the control audit trail holds {count:d} refusals of "{name}" and verifies',
)
def step_check_refusals(context, count, name):
    records = list(context.subject.state.audit)
    found = filter_audit(records, AuditFilter(operator=name, code=2004))
    assert len(found) == count
    assert verify_audit(records)


@when(
    'a stranger sends a control submission in the name of "{name}" before "{same}" does'
)
def step_stranger(context, name, same):
    subject = context.subject
    command = subject.build_issue("a", 1, name)
    subject.apply(command, "guessed")
    subject.apply(command, same)


@when("control key {number:d} is issued, withdrawn, withdrawn again and issued again")
def step_key_life(context, number):
    subject = context.subject
    subject.apply(subject.build_issue("a", number))
    subject.apply(subject.build_withdraw(number))
    subject.apply(subject.build_withdraw(number))
    subject.apply(subject.build_issue("a", number))


@when('a control key is issued for "{customer}" and an unknown one withdrawn')
def step_unknown(context, customer):
    subject = context.subject
    subject.apply(subject.build_issue(customer, 1))
    subject.apply(subject.build_withdraw(2))


@then("changing, dropping or swapping any control audit record is detected")
def step_check_tampering(context):
    records = list(context.subject.state.audit)
    assert verify_audit(records)
    for position, record in enumerate(records):
        changed = msgspec.structs.replace(record, operator="eve")
        assert not verify_audit(
            [*records[:position], changed, *records[position + 1 :]]
        )
        if position + 1 < len(records):
            assert not verify_audit(records[:position] + records[position + 1 :])
            swapped = records.copy()
            swapped[position], swapped[position + 1] = records[position + 1], record
            assert not verify_audit(swapped)


@when("a control submission is applied as a difference and resent in full")
def step_shorten(context):
    subject = context.subject
    names = " ".join(f"customer-{number}" for number in range(20))
    subject.apply(subject.build_submit(print_customers(names)))
    whole = subject.build_submit(print_customers(f"{names} new"))
    state = subject.state
    short = shorten_submission(whole, state.configurations, state.version)
    subject.sizes = [len(msgspec.msgpack.encode(item)) for item in (short, whole)]
    subject.outcomes.clear()
    assert subject.apply(short) == subject.apply(whole)
    assert subject.state.text == whole.text


@then("the control difference is {factor:d} times smaller than the text")
def step_check_sizes(context, factor):
    short, whole = context.subject.sizes
    assert short * factor < whole, context.subject.sizes


@when("a control difference comes after the configuration has changed")
def step_late_difference(context):
    subject = context.subject
    state = subject.state
    late = subject.build_submit(print_customers("a c"), submission="late")
    short = shorten_submission(late, state.configurations, state.version)
    subject.apply(subject.build_submit(print_customers("a d")))
    # A base that is up to date does not make a difference from another text valid.
    subject.apply(msgspec.structs.replace(short, based_on=state.version))


@when("{count:d} random control commands are applied from seed {seed:d}")
def step_random(context, count, seed):
    context.subject.run_random(count, seed)


@then("the control changes rebuild the latest state from every version")
def step_check_changes(context):
    subject = context.subject
    latest = subject.images[subject.state.version]
    assert subject.state.version > 50
    for version in subject.images:
        assert subject.rebuild(version) == latest, version


@then("a decoded control state applies {count:d} more commands with equal bytes")
def step_check_decoded(context, count):
    first, second = context.subject, ControlStateSubject()
    second.state = decode_state(first.state.encode())
    second.count = first.count
    first.run_random(count, 9)
    second.run_random(count, 9)
    assert first.state.encode() == second.state.encode()


@when("the control state is exported and imported into an empty one")
def step_import(context):
    subject = context.subject
    subject.apply(subject.build_issue("a", 1))
    subject.source = subject.state
    image = subject.state.encode()
    subject.target = ControlStateSubject()
    subject.target.apply(subject.target.build_import(image))


@then("the imported control state has the same text and keys at a later version")
def step_check_import(context):
    source, target = context.subject.source, context.subject.target.state
    assert target.text == source.text and target.keys == source.keys
    assert target.version == source.version + 1
    assert target.changes_since(source.version) is None


@when("{count:d} control keys are issued and withdrawn")
def step_many(context, count):
    subject = context.subject
    for number in range(count):
        subject.state.apply(subject.build_issue("a", number), float(number))
        subject.count += 1
        subject.state.apply(subject.build_withdraw(number), float(number))
        subject.count += 1


@then("the control state keeps no more than its bounds")
def step_check_bounds(context):
    state = context.subject.state
    assert len(state.outcomes) == MAX_OUTCOMES
    assert len(state.configurations.history) <= MAX_CONFIGURATIONS
    assert len(state.audit) == MAX_AUDIT_RECORDS
    assert len(state.changes.list_all()) <= MAX_CHANGES


def find_verdict(check, sections):
    try:
        check(sections)
    except OperatorError as error:
        return error.detail
    return ""


@then(
    "{count:d} random control texts from seed {seed:d} get the same verdict either way"
)
def step_check_texts(context, count, seed):
    rng = random.Random(seed)
    checker = SectionChecker()
    verdicts = []
    for _ in range(count):
        sections = split_sections(build_random_text(rng))
        verdicts.append(find_verdict(check_sections, sections))
        assert find_verdict(checker.check, sections) == verdicts[-1], sections
    assert 20 < verdicts.count("") < count - 20
