from behave import given, then, when

from burdockwall.errors import InvalidFile
from burdockwall.settings import parse_settings
from features.subjects.tls import MESSAGE, TlsSubject


@given("certificates of one authority")
def step_authority(context):
    context.subject = TlsSubject()


@when("a caller sends a turn over TLS with HTTP/2")
def step_ask(context):
    context.subject.ask_over_tls()


@when("two instances exchange a message with certificates of the authority")
def step_exchange(context):
    subject = context.subject
    subject.exchange(subject.create_contexts(subject.authority))


@when("an instance with a certificate of another authority sends a message")
def step_other_authority(context):
    subject = context.subject
    subject.exchange(subject.create_contexts(subject.other_authority))


@when("an instance without a certificate sends a message")
def step_plaintext(context):
    context.subject.exchange(None)


@when("settings name other instances without TLS and without enabling plaintext")
def step_settings(context):
    try:
        parse_settings("[peers]\ninstances = b=127.0.0.1:1\n", "file.ini")
        context.faults = []
    except InvalidFile as error:
        context.faults = error.faults


@then("the answer came over HTTP/2 and a plaintext caller got none")
def step_answer(context):
    assert context.subject.http_version == "HTTP/2", context.subject.http_version
    assert context.subject.plaintext_failed


@then("the message between instances arrives")
def step_arrives(context):
    assert context.subject.arrived == [MESSAGE]


@then("the message between instances does not arrive")
def step_not_arrives(context):
    assert context.subject.arrived == []


@then('the settings are refused at "{place}"')
def step_refused(context, place):
    assert [fault for fault in context.faults if place in fault.place]
