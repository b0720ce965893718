"""Record since when each service has had a single software version.

Made for streams that callers take up while two versions serve, or shortly after one of
them has left: where the stores do not know what began a stream, its version is certain
only if the service has had no other one for as long as a stream lasts. The leader
records this of the lists that it reads, and each instance of those that it receives.
"""

from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from burdockwall.types import ServiceName, SoftwareVersion, Term


class SoleVersion(msgspec.Struct, frozen=True):
    """The version of all listed endpoints of a service, and since when it is."""

    software: SoftwareVersion
    since: float


class SoleVersions:
    """The services that have a single version, as a sequence of lists shows."""

    def __init__(self) -> None:
        self._versions: dict[ServiceName, SoleVersion] = {}

    def install(
        self, listed: Iterable[tuple[ServiceName, SoftwareVersion]], now: float
    ) -> None:
        """Record the services and versions of all endpoints of the next list."""
        present: dict[ServiceName, set[SoftwareVersion]] = {}
        for service, software in listed:
            present.setdefault(service, set()).add(software)
        earlier, self._versions = self._versions, {}
        for service, versions in present.items():
            if len(versions) > 1:
                continue
            software = next(iter(versions))
            known = earlier.get(service)
            if known is None or known.software != software:
                known = SoleVersion(software, now)
            self._versions[service] = known

    def clear(self) -> None:
        """Drop everything, since a list may have been missed."""
        self._versions = {}

    def extend(self, ages_s: dict[ServiceName, float], now: float) -> None:
        """Record how long the leader has known the versions of the latest list."""
        for service, age_s in ages_s.items():
            known = self._versions.get(service)
            if known is not None and now - age_s < known.since:
                self._versions[service] = replace(known, since=now - age_s)

    def find(self, service: ServiceName, since: float) -> SoftwareVersion | None:
        """Return the only version that a service has had since a time, or None."""
        sole = self._versions.get(service)
        return None if sole is None or sole.since > since else sole.software

    def get(self, service: ServiceName) -> SoleVersion | None:
        """Return the single version that a service has now, or None."""
        return self._versions.get(service)

    def list_since(self) -> dict[ServiceName, float]:
        """Return since when each service with a single version has had it."""
        return {service: sole.since for service, sole in self._versions.items()}


class LedVersions:
    """The versions in the lists that one instance has read while it leads a term.

    Instances get lists from leaders only, so all lists of a term are known to its
    leader. Those of earlier terms are not, so a later term starts without a history.
    """

    def __init__(self) -> None:
        self.term: Term | None = None
        self._versions = SoleVersions()

    def install(
        self,
        term: Term | None,
        listed: Iterable[tuple[ServiceName, SoftwareVersion]],
        now: float,
    ) -> None:
        """Record a list that was read while leading a term, or None."""
        if term != self.term:
            self.term = term
            self._versions = SoleVersions()
        self._versions.install(listed, now)

    def list_since(self, term: Term) -> dict[ServiceName, float]:
        """Return since when the services had their single versions in a term."""
        return self._versions.list_since() if term == self.term else {}

    def find(self, term: Term, service: ServiceName) -> SoleVersion | None:
        """Return the single version that the lists of a term show, or None."""
        return self._versions.get(service) if term == self.term else None
