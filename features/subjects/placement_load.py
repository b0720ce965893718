"""Load headers of answers, and the log lines of those that can't be read."""

import logbook

from burdockwall.connection.upstream import AnswerHead
from burdockwall.platform.codec import PlatformCodec
from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.process.scheduling.unreadable_loads import UnreadableLoads
from burdockwall.types import Address, EndpointId, FailureDomain, ServiceName


def create_endpoint(name: str, domain: str = "a", slots: int = 8) -> ListedEndpoint:
    return ListedEndpoint(
        EndpointId(name),
        ServiceName("s"),
        Address(f"{name}:80"),
        FailureDomain(domain),
        slots,
    )


def describe_load(header: str) -> str:
    head = AnswerHead(200, [(b"x-server-load", header.encode())])
    details = PlatformCodec().read_answer(head)
    assert (details.load is None) == (details.unreadable_load is not None)
    if details.load is None:
        return "nothing"
    load = details.load
    return f"{load.running} + {load.waiting} of {load.slots}, {load.pace}"


def record_unreadable(counts: dict[str, int]) -> tuple[int, int]:
    """Record reports by endpoint; return the numbers of reports and log lines."""
    loads = UnreadableLoads()
    with logbook.TestHandler() as handler:
        for name, count in counts.items():
            for _ in range(count):
                loads.record(create_endpoint(name), "x")
    return loads.count, len(handler.records)
