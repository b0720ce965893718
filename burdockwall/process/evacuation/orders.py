"""Orders to evacuate a failure domain and to end that, accepted at the leader.

Load: up to eight orders at once, each sent again until it has a clear response. An
order that is in force already changes nothing and is acknowledged again.
"""

from collections.abc import Callable, Iterable

import logbook

from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.changes import Document
from burdockwall.process.control.documents import Documents
from burdockwall.process.control.state import NO_CREDENTIAL
from burdockwall.process.evacuation.evacuations import (
    EVACUATIONS,
    Evacuations,
    decode_evacuations,
    encode_evacuations,
)
from burdockwall.types import FailureDomain, KeyDigest, OperatorId

FindDomain = Callable[[FailureDomain], bool | None]


class EvacuationOrders:
    """Accepts operators' orders.

    `find_domain` returns whether a domain exists, or None while that is not certain.
    """

    def __init__(
        self,
        documents: Documents,
        find_domain: FindDomain,
        wall_clock: Callable[[], float],
    ) -> None:
        self.documents = documents
        self.find_domain = find_domain
        self.wall_clock = wall_clock
        self._logger = logbook.Logger("evacuation")

    def get_evacuations(self) -> Evacuations:
        """Return the evacuations that are applied on this instance."""
        return decode_evacuations(self.documents.find(EVACUATIONS))

    async def start(
        self,
        domain: FailureDomain,
        operator: OperatorId,
        credential: KeyDigest = NO_CREDENTIAL,
    ) -> None:
        """Evacuate a domain, or raise OperatorError if that is not certain."""

        def change(evacuations: Evacuations) -> Evacuations:
            return evacuations.start(domain, operator, self.wall_clock())

        changed = await self._revise(domain, change, operator, credential)
        self._log("evacuation started", domain, operator, changed)

    async def end(
        self,
        domain: FailureDomain,
        operator: OperatorId,
        credential: KeyDigest = NO_CREDENTIAL,
    ) -> None:
        """End the evacuation of a domain, or raise OperatorError."""

        def change(evacuations: Evacuations) -> Evacuations:
            return evacuations.end(domain, self.wall_clock())

        changed = await self._revise(domain, change, operator, credential)
        self._log("evacuation ended", domain, operator, changed)

    async def _revise(
        self,
        domain: FailureDomain,
        change: Callable[[Evacuations], Evacuations],
        operator: OperatorId,
        credential: KeyDigest,
    ) -> bool:
        def revise(document: Document | None) -> bytes | None:
            current = decode_evacuations(document)
            self._check_domain(domain, current)
            changed = change(current)
            return None if changed is current else encode_evacuations(changed)

        return await self.documents.revise(EVACUATIONS, revise, operator, credential)

    def _check_domain(self, domain: FailureDomain, evacuations: Evacuations) -> None:
        if domain in evacuations.domains or domain in evacuations.ended:
            return
        found = self.find_domain(domain)
        if found is None:
            detail = f"it is not known yet whether {domain!r} is a failure domain"
            raise OperatorError(Code.NOT_READY, detail)
        if not found:
            raise OperatorError(Code.DOMAIN_UNKNOWN, f"no failure domain {domain!r}")

    def _log(
        self, message: str, domain: FailureDomain, operator: OperatorId, changed: bool
    ) -> None:
        extra = {"domain": domain, "operator": operator, "repeated": not changed}
        self._logger.notice(message, extra=extra)


def find_in(
    domain: FailureDomain, known: Iterable[FailureDomain], complete: bool
) -> bool | None:
    """Return whether a domain is known; None if not, while `known` is incomplete."""
    if domain in set(known):
        return True
    return False if complete else None
