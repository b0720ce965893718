"""Order the log lines about a request or program, and explain its outcome."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from burdockwall.errors import find_code
from burdockwall.trace.lines import LogEntry, RequestFields
from burdockwall.types import Ran

REQUEST_ENDED = "request ended"
# Changes that an instance logged from this long before the start of a request until
# this long after its end may explain its outcome.
CONTEXT_BEFORE = timedelta(seconds=3)
CONTEXT_AFTER = timedelta(seconds=0.2)
# Messages about the state of an instance or its view of others, not about a request.
# The last four are those of earlier builds, whose logs must still be readable.
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
# The longest phase is named if it takes at least this share of a request's time.
NAMED_SHARE = 0.5
SLOW_MS = 300.0
LAST_PHASE = "ending the request"
RAN_TEXTS = {
    Ran.RAN: "it ran",
    Ran.NOT_RUN: "it has not run and never will",
    Ran.UNKNOWN: "it may have run",
}


class Phase(msgspec.Struct, frozen=True):
    """A part of the time of a request."""

    name: str
    milliseconds: float


class Event(msgspec.Struct, frozen=True):
    """A log line and its description."""

    entry: LogEntry
    text: str


class Explanation(msgspec.Struct, frozen=True):
    """The lines about a request or program, and a text that explains its outcome."""

    events: list[Event]
    verdict: str


def explain(entries: Iterable[LogEntry], name: str) -> Explanation | None:
    """Explain what happened to a request or program; None if no line names it."""
    all_entries = list(entries)
    own = [entry for entry in all_entries if name in entry.fields.values()]
    ended = [entry for entry in own if entry.message == REQUEST_ENDED]
    if not own:
        return None
    context = _list_context(all_entries, ended)
    ordered = sorted([*own, *context], key=lambda entry: entry.time)
    events = [Event(entry, _describe(entry)) for entry in ordered]
    return Explanation(events, _summarise(ended, context))


def _list_context(entries: list[LogEntry], ended: list[LogEntry]) -> list[LogEntry]:
    """List the context messages logged around requests that failed or were slow."""
    candidates = [entry for entry in entries if entry.message in CONTEXT_MESSAGES]
    context: list[LogEntry] = []
    for entry in ended:
        fields = _get_fields(entry)
        if fields.code == 0 and fields.total_ms < SLOW_MS:
            continue
        started = entry.time - timedelta(milliseconds=fields.total_ms)
        context += [
            other
            for other in candidates
            if started - CONTEXT_BEFORE <= other.time <= entry.time + CONTEXT_AFTER
            and (other.instance == entry.instance or other.channel == "control")
            and other not in context
        ]
    return context


def _get_fields(entry: LogEntry) -> RequestFields:
    return msgspec.convert(entry.fields, RequestFields, strict=False)


def list_phases(fields: RequestFields) -> list[Phase]:
    """List the phases of a request, up to the one in which it ended."""
    marks: list[tuple[str, float | None]] = [
        ("reserving the turn at the stores", fields.begun_ms),
        ("waiting for the customer's rate", fields.admitted_ms),
        ("choosing and connecting to an endpoint", fields.sent_ms),
        ("waiting for the endpoint's first byte", fields.first_byte_ms),
        ("forwarding the endpoint's answer", fields.answered_ms),
    ]
    names = [name for name, _ in marks] + [LAST_PHASE]
    phases, since, current = [], 0.0, names[0]
    for position, (name, until) in enumerate(marks):
        if until is None:
            continue
        phases.append(Phase(name, max(0.0, until - since)))
        since = until
        current = names[position + 1]
    return [*phases, Phase(current, max(0.0, fields.total_ms - since))]


def _describe(entry: LogEntry) -> str:
    if entry.message != REQUEST_ENDED:
        fields_text = ", ".join(f"{key} {value}" for key, value in entry.fields.items())
        return f"{entry.message}: {fields_text}" if fields_text else entry.message
    fields = _get_fields(entry)
    phases = ", ".join(
        f"{phase.name} {phase.milliseconds:.0f} ms"
        for phase in list_phases(fields)
        if phase.milliseconds >= 1.0
    )
    outcome = f"status {fields.status}" if fields.status else "no answer"
    if fields.code:
        outcome += f", code {fields.code} ({fields.detail})"
    tried = f"; endpoints tried: {fields.failures}" if fields.failures else ""
    endpoint = f" at {fields.endpoint}" if fields.endpoint else ""
    endpoint += f" of version {fields.software}" if fields.software else ""
    return (
        f"request {fields.request} on {fields.route or 'no route'}{endpoint}"
        f"{_describe_resumption(fields)}: "
        f"{outcome} after {fields.total_ms:.0f} ms ({phases}){tried}"
    )


def _describe_resumption(fields: RequestFields) -> str:
    if not fields.last_event:
        return ""
    begun_by = fields.resumed_from or "an unnamed request"
    return f", which took up the stream of {begun_by} after event {fields.last_event}"


def _summarise(ended: list[LogEntry], context: list[LogEntry]) -> str:
    failed = [entry for entry in ended if _get_fields(entry).code]
    if not ended:
        return "No instance logged the end of this request."
    if not failed:
        return _summarise_times(ended)
    last = _get_fields(failed[-1])
    recovered = ended[-1] is not failed[-1]
    code = find_code(last.code).value
    sentences = [
        f"Request {last.request} ended with code {last.code}: {code.meaning}",
        f"Detail: {last.detail.rstrip('.')}." if last.detail != code.meaning else "",
        f"For its caller {RAN_TEXTS[code.ran]}.",
        f"Endpoints tried: {last.failures}." if last.failures else "",
        f"It was at {last.endpoint}." if last.endpoint and not last.failures else "",
        _describe_longest_phase(last),
        _describe_context(failed[-1], context),
        "A later request of the same name succeeded." if recovered else "",
    ]
    return " ".join(sentence for sentence in sentences if sentence)


def _summarise_times(ended: list[LogEntry]) -> str:
    slowest = max(
        (_get_fields(entry) for entry in ended), key=lambda item: item.total_ms
    )
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


def _describe_context(entry: LogEntry, context: list[LogEntry]) -> str:
    if not context:
        return ""
    texts = []
    for other in context:
        age_s = (entry.time - other.time).total_seconds()
        texts.append(f"{other.instance or 'an instance'} {other.message} {age_s:.2f} s")
    return f"Before its end: {'; '.join(texts[-4:])} earlier."
