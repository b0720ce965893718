"""Logs of instances, in which requests and programs are traced."""

import json
from datetime import UTC, datetime, timedelta
from pathlib import Path

START = datetime(2026, 12, 4, 12, 0, tzinfo=UTC)
NAMES = {
    "the request refused with code 1303": "r-refused",
    "the request that ended with code 1224": "r-unknown",
    "the program of the lost turn": "p-lost",
    "the program that was slow": "p-slow",
    "the request that began the stream": "r-began",
}


def build_line(at_s: float, channel: str, message: str, **fields: object) -> str:
    """Build one log line of an instance."""
    time = (START + timedelta(seconds=at_s)).isoformat()
    line = {"time": time, "level": "info", "channel": channel, "message": message}
    return json.dumps(line | {"fields": fields})


def build_ended(at_s: float, request: str, **fields: object) -> str:
    """Build the line of an ended request."""
    base = {"request": request, "route": "chat", "customer": "c", "configuration": 3}
    times = dict.fromkeys(
        ("begun_ms", "admitted_ms", "sent_ms", "first_byte_ms", "answered_ms")
    )
    every = base | times | {"code": 0, "status": 200, "detail": "", "failures": ""}
    return build_line(at_s, "front", "request ended", **(every | fields))


def build_logs() -> dict[str, list[str]]:
    """Build the logs of two entry instances and a control instance."""
    owner = "The owner of the customer's rate does not answer."
    first = [
        build_line(0.0, "instance", "started"),
        build_line(9.6, "front", "rate owner changed", leader="core-2", term=4),
        build_ended(
            10.0, "r-refused", code=1303, status=503, detail=owner, total_ms=152.0
        ),
        build_ended(20.0, "r-one", program="p-lost", total_ms=210.0, status=200),
        build_ended(
            30.0,
            "r-slow",
            program="p-slow",
            admitted_ms=400.0,
            sent_ms=402.0,
            first_byte_ms=450.0,
            answered_ms=600.0,
            total_ms=605.0,
        ),
    ]
    second = [
        # An earlier build logged a change of the rate owner under this message.
        build_line(14.0, "front", "rates asked of", leader="core-2", term=4),
        build_ended(
            15.0,
            "r-unknown",
            code=1224,
            status=504,
            detail="the time is over",
            endpoint="e-7",
            admitted_ms=5.0,
            sent_ms=10.0,
            total_ms=3000.0,
        ),
        build_ended(
            21.0,
            "r-two",
            program="p-lost",
            code=1214,
            status=404,
            detail="no turn r-one",
            total_ms=6.0,
        ),
        build_ended(31.0, "r-quick", program="p-slow", total_ms=50.0),
        build_ended(40.0, "r-began", endpoint="e-1", software="v1", total_ms=90.0),
        build_ended(
            41.0,
            "r-resumed",
            endpoint="e-2",
            software="v2",
            resumed_from="r-began",
            last_event="3",
            total_ms=80.0,
        ),
    ]
    leader = [build_line(9.5, "control", "control role", role="leader", term=4)]
    return {"front-1": first, "front-2": second, "core-2": leader}


def write_logs(folder: Path) -> list[Path]:
    """Write the logs to a file for each instance."""
    paths = []
    for name, lines in build_logs().items():
        path = folder / f"{name}.log"
        path.write_text("\n".join(lines))
        paths.append(path)
    return paths


def build_collected() -> str:
    """Build the logs as one text with the prefixes of a log collector."""
    return "\n".join(
        f"  10.5 {name} {line}"
        if number % 2 == 0
        else f"10.5 {name} {line}\nplain text"
        for name, lines in build_logs().items()
        for number, line in enumerate(lines)
    )
