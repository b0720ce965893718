"""The failure domains that are evacuated, as a document of the control state.

Load: a few dozen domains and a few orders an hour, up to eight of them at once. The
document has an entry for each domain that was ever evacuated, so its size is bounded by
the number of domains.
"""

from typing import Self

import msgspec

from burdockwall.process.control.changes import Document
from burdockwall.types import DocumentName, FailureDomain, OperatorId

EVACUATIONS = DocumentName("evacuations")


class Evacuation(msgspec.Struct, frozen=True):
    """Since when (Unix time) and by whose order a domain is evacuated."""

    since: float
    by: OperatorId


class Evacuations(msgspec.Struct, frozen=True):
    """The evacuated domains, and when (Unix time) the last evacuation of each ended."""

    domains: dict[FailureDomain, Evacuation] = {}
    ended: dict[FailureDomain, float] = {}

    def start(self, domain: FailureDomain, by: OperatorId, at: float) -> Self:
        """Evacuate a domain; one that is evacuated keeps its earlier order."""
        if domain in self.domains:
            return self
        domains = self.domains | {domain: Evacuation(at, by)}
        return msgspec.structs.replace(self, domains=domains)

    def end(self, domain: FailureDomain, at: float) -> Self:
        """End the evacuation of a domain, if it is evacuated."""
        if domain not in self.domains:
            return self
        domains = {
            name: order for name, order in self.domains.items() if name != domain
        }
        # The clock of the leader that accepted the start may have been ahead.
        ended = self.ended | {domain: max(at, self.domains[domain].since)}
        return msgspec.structs.replace(self, domains=domains, ended=ended)


def encode_evacuations(evacuations: Evacuations) -> bytes:
    """Encode as a document of the control state."""
    return msgspec.json.encode(evacuations)


def decode_evacuations(document: Document | None) -> Evacuations:
    """Decode a document of the control state; without one no domain is evacuated."""
    if document is None:
        return Evacuations()
    return msgspec.json.decode(document.data, type=Evacuations)
