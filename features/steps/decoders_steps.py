from behave import then

from burdockwall.connection.upstream import Probe
from features.subjects.decoders import (
    AddressSubject,
    ListSubject,
    build_entry,
    build_page,
)


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
