from behave import then

from burdockwall.connection.upstream import Probe
from features.subjects.decoders import (
    BAD_ENTRIES,
    UNREAD_PAGES,
    AddressSubject,
    ListSubject,
    build_entry,
    build_many,
    build_page,
)

MANY_SERVERS = 100_000
PAGE_SERVERS = 2_000
ENDLESS_PAGES = 200


def unescape(text):
    return text.replace("\\0", "\0")


@then('the server list with an entry at "{address}" has only its other entries')
def step_address(context, address):
    entries = [
        build_entry("i-1"),
        build_entry("i-2", address=unescape(address)),
        build_entry("i-3"),
    ]
    servers = ListSubject(build_page(*entries)).read()
    assert [server.name for server in servers] == ["i-1", "i-3"], servers


@then('connecting to "{address}" fails as to an endpoint that does not answer')
def step_connect(context, address):
    outcomes = AddressSubject(unescape(address)).connect()
    assert all(item in (Probe.UNKNOWN, Probe.REFUSED) for item in outcomes), outcomes


@then("a list of two pages with an entry that has {fault} has only its other entries")
def step_entry(context, fault):
    first = [build_entry("i-1"), BAD_ENTRIES[fault], build_entry("i-2")]
    second = [build_entry("i-3"), BAD_ENTRIES[fault]]
    pages = [build_page(*first, following=b'"p-2"'), build_page(*second)]
    servers = ListSubject(*pages).read()
    assert servers is not None
    assert [server.name for server in servers] == ["i-1", "i-2", "i-3"], servers


@then("a list with 100000 servers is unread")
def step_many(context):
    subject = ListSubject(*build_many(MANY_SERVERS, PAGE_SERVERS), build_page())
    assert subject.read() is None
    assert "entries" in subject.unread, subject.unread


@then("a list with pages without end is unread")
def step_endless(context):
    subject = ListSubject(*build_many(ENDLESS_PAGES, 1))
    assert subject.read() is None
    assert "pages" in subject.unread, subject.unread


@then("a list with {fault} is unread")
def step_unread(context, fault):
    assert ListSubject(UNREAD_PAGES[fault]).read() is None
