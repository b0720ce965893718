"""The evacuated failure domains, as an entry instance follows them.

Load: read for every attempt of every request, and changed a few times an hour.
"""

import logbook

from burdockwall.process.control.changes import Document
from burdockwall.process.evacuation.evacuations import (
    EVACUATIONS,
    Evacuations,
    decode_evacuations,
)
from burdockwall.types import DocumentName, FailureDomain


class EvacuationFollower:
    """The evacuations in force at an instance."""

    def __init__(self) -> None:
        self.evacuations = Evacuations()
        self._document: Document | None = None
        self._logger = logbook.Logger("evacuation")

    def install(self, documents: dict[DocumentName, Document]) -> bool:
        """Put the orders of a control state in force; return whether any is new."""
        document = documents.get(EVACUATIONS)
        if document == self._document:
            return False
        earlier, self.evacuations = self.evacuations, decode_evacuations(document)
        self._log_changes(earlier)
        # Last, since a document that is in force is not decoded again.
        self._document = document
        return True

    def includes(self, domain: FailureDomain) -> bool:
        """Return whether no request may be sent to the endpoints of a domain."""
        return domain in self.evacuations.domains

    def find_evacuation_end(self, domain: FailureDomain) -> float | None:
        """Return when the latest evacuation of a domain ended, as a Unix time."""
        return self.evacuations.ended.get(domain)

    def count(self) -> float:
        """Return the number of evacuated domains."""
        return float(len(self.evacuations.domains))

    def _log_changes(self, earlier: Evacuations) -> None:
        for domain, order in self.evacuations.domains.items():
            if earlier.domains.get(domain) != order:
                extra = {"domain": domain, "since": order.since, "operator": order.by}
                self._logger.notice("domain evacuated", extra=extra)
        for domain in earlier.domains:
            if not self.includes(domain):
                extra = {"domain": domain, "ended": self.evacuations.ended.get(domain)}
                self._logger.notice("domain in use again", extra=extra)
