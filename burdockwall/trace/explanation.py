"""Put one request's or program's lines in order, and say what decided."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from burdockwall.errors import find_code
from burdockwall.trace.lines import LogEntry, RequestFields
from burdockwall.types import Ran

REQUEST_ENDED = "request ended"
# What an instance came to believe this long before a request may have decided.
CONTEXT_BEFORE = timedelta(seconds=3)
CONTEXT_AFTER = timedelta(seconds=0.2)
# Messages about an instance's view of other instances, not about one request. The
# last four are what earlier builds logged; their logs must still be readable.
CONTEXT_MESSAGES = frozenset(
    {
        "configuration in force",
        "control role",
        "endpoint list available again",
        "endpoint list unavailable",
        "peer lost",
        "peer regained",
        "rate owner changed",
        "ready for callers",
        "settings reloaded",
        "started",
        "stopped",
        "stopped serving",
        "stopping",
        "store view proposed",
        "list lost",
        "list regained",
        "rates asked of",
        "stores planned",
    }
)
# A part of a request's time is named as its cause from this share of it on.
NAMED_SHARE = 0.5
SLOW_MS = 300.0
LAST_PHASE = "ending the request"
RAN_TEXTS = {
    Ran.RAN: "it ran",
    Ran.NOT_RUN: "it has not run and never will",
    Ran.UNKNOWN: "it may have run",
}


class Phase(msgspec.Struct, frozen=True):
    """Hold one part of a request's time."""

    name: str
    milliseconds: float


class Event(msgspec.Struct, frozen=True):
    """Hold one line of a story."""

    entry: LogEntry
    text: str


class Explanation(msgspec.Struct, frozen=True):
    """Hold the lines of a request or program, and what decided, in words."""

    events: list[Event]
    verdict: str


def explain(entries: Iterable[LogEntry], name: str) -> Explanation | None:
    """Tell what became of a request or program; None where no line names it."""
    kept = list(entries)
    own = [entry for entry in kept if name in entry.fields.values()]
    ended = [entry for entry in own if entry.message == REQUEST_ENDED]
    if not own:
        return None
    beliefs = _list_context(kept, ended)
    ordered = sorted([*own, *beliefs], key=lambda entry: entry.time)
    events = [Event(entry, _describe(entry)) for entry in ordered]
    return Explanation(events, _summarise(ended, beliefs))


def _list_context(kept: list[LogEntry], ended: list[LogEntry]) -> list[LogEntry]:
    """List what instances came to believe around the requests that failed."""
    beliefs = [entry for entry in kept if entry.message in CONTEXT_MESSAGES]
    found: list[LogEntry] = []
    for entry in ended:
        fields = _get_fields(entry)
        if fields.code == 0 and fields.total_ms < SLOW_MS:
            continue
        began = entry.time - timedelta(milliseconds=fields.total_ms)
        found += [
            other
            for other in beliefs
            if began - CONTEXT_BEFORE <= other.time <= entry.time + CONTEXT_AFTER
            and (other.instance == entry.instance or other.channel == "control")
            and other not in found
        ]
    return found


def _get_fields(entry: LogEntry) -> RequestFields:
    return msgspec.convert(entry.fields, RequestFields, strict=False)


def list_phases(fields: RequestFields) -> list[Phase]:
    """List the parts of a request's time, as far as it got."""
    marks: list[tuple[str, float | None]] = [
        ("reserving the turn at the stores", fields.begun_ms),
        ("waiting for the customer's rate", fields.admitted_ms),
        ("choosing and connecting to an endpoint", fields.sent_ms),
        ("waiting for the endpoint's first byte", fields.first_byte_ms),
        ("passing on the endpoint's answer", fields.answered_ms),
    ]
    names = [name for name, _ in marks] + [LAST_PHASE]
    phases, since, under_way = [], 0.0, names[0]
    for position, (name, until) in enumerate(marks):
        if until is None:
            continue
        phases.append(Phase(name, max(0.0, until - since)))
        since = until
        under_way = names[position + 1]
    return [*phases, Phase(under_way, max(0.0, fields.total_ms - since))]


def _describe(entry: LogEntry) -> str:
    if entry.message != REQUEST_ENDED:
        shown = ", ".join(f"{key} {value}" for key, value in entry.fields.items())
        return f"{entry.message}: {shown}" if shown else entry.message
    fields = _get_fields(entry)
    parts = ", ".join(
        f"{phase.name} {phase.milliseconds:.0f} ms"
        for phase in list_phases(fields)
        if phase.milliseconds >= 1.0
    )
    outcome = f"status {fields.status}" if fields.status else "no answer"
    if fields.code:
        outcome += f", code {fields.code} ({fields.detail})"
    tried = f"; endpoints tried: {fields.failures}" if fields.failures else ""
    endpoint = f" at {fields.endpoint}" if fields.endpoint else ""
    return (
        f"request {fields.request} on {fields.route or 'no route'}{endpoint}: "
        f"{outcome} after {fields.total_ms:.0f} ms ({parts}){tried}"
    )


def _summarise(ended: list[LogEntry], beliefs: list[LogEntry]) -> str:
    failed = [entry for entry in ended if _get_fields(entry).code]
    if not ended:
        return "No instance logged the end of this request."
    if not failed:
        return _summarise_times(ended)
    last = _get_fields(failed[-1])
    recovered = ended[-1] is not failed[-1]
    code = find_code(last.code).value
    said = [
        f"Request {last.request} ended with code {last.code}: {code.meaning}",
        f"Detail: {last.detail.rstrip('.')}." if last.detail != code.meaning else "",
        f"For its caller {RAN_TEXTS[code.ran]}.",
        f"Endpoints tried: {last.failures}." if last.failures else "",
        f"It was at {last.endpoint}." if last.endpoint and not last.failures else "",
        _describe_longest_phase(last),
        _describe_context(failed[-1], beliefs),
        "A later request of the same name succeeded." if recovered else "",
    ]
    return " ".join(part for part in said if part)


def _summarise_times(ended: list[LogEntry]) -> str:
    slowest = max((_get_fields(entry) for entry in ended), key=lambda one: one.total_ms)
    total = sum(_get_fields(entry).total_ms for entry in ended)
    return (
        f"All {len(ended)} requests were answered, in {total:.0f} ms together; the "
        f"slowest was {slowest.request} with {slowest.total_ms:.0f} ms. "
        f"{_describe_longest_phase(slowest)}"
    )


def _describe_longest_phase(fields: RequestFields) -> str:
    phases = list_phases(fields)
    longest = max(phases, key=lambda phase: phase.milliseconds)
    if longest.milliseconds < NAMED_SHARE * fields.total_ms or fields.total_ms < 1.0:
        return ""
    return (
        f"Of its {fields.total_ms:.0f} ms, {longest.milliseconds:.0f} ms went into "
        f"{longest.name}."
    )


def _describe_context(entry: LogEntry, beliefs: list[LogEntry]) -> str:
    if not beliefs:
        return ""
    named = []
    for belief in beliefs:
        age_s = (entry.time - belief.time).total_seconds()
        named.append(
            f"{belief.instance or 'an instance'} {belief.message} {age_s:.2f} s"
        )
    return f"Before its end: {'; '.join(named[-4:])} earlier."
