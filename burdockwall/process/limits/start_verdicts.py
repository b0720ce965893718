"""What becomes of a holder's requests that begin programs, once the owner decided.

Answers the load of a customer whose callers begin more programs than its rate carries:
a start that is refused leaves the queue at once, and one that is admitted waits like
the requests of programs under way.
"""

from collections.abc import Iterator

from burdockwall.process.limits.events import Reason, Refused
from burdockwall.process.limits.grants import CustomerGrants
from burdockwall.process.limits.messages import LimitGrants, StartVerdict
from burdockwall.types import CustomerId

MS_PER_S = 1000


def apply_start_verdicts(
    message: LimitGrants, customers: dict[CustomerId, CustomerGrants]
) -> Iterator[tuple[CustomerId, list[Refused]]]:
    """Admit or refuse the waiting starts, and return the refusals by customer."""
    if not message.decides_starts:
        _admit_all(message, customers)
        return
    for verdict in message.starts:
        entry = customers.get(verdict.customer)
        if entry is not None:
            yield verdict.customer, _apply(verdict, entry)


def _apply(verdict: StartVerdict, entry: CustomerGrants) -> list[Refused]:
    refused = []
    for request in entry.list_starts():
        if request.program != verdict.program:
            continue
        if verdict.admitted:
            entry.admit_start(request)
            continue
        entry.waiting.remove(request)
        retry_s = verdict.retry_ms / MS_PER_S
        reason = Reason.PROGRAMS
        refused.append(Refused(request.call, entry.customer, reason, retry_s))
    return refused


def _admit_all(
    message: LimitGrants, customers: dict[CustomerId, CustomerGrants]
) -> None:
    """Admit the starts that an owner of an earlier build was asked for."""
    answered = {item.customer for item in message.grants}
    for customer in sorted(answered & set(customers)):
        entry = customers[customer]
        for request in entry.list_starts():
            if request.demand and request.demand <= message.sequence:
                entry.admit_start(request)
