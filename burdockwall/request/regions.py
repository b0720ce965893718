"""Find the regions whose endpoints a request may reach."""

from collections.abc import Mapping

import msgspec

from burdockwall.types import FailureDomain
from burdockwall.version.deployment import HostCustomer, HostRoute


class AllowedRegions(msgspec.Struct, frozen=True):
    """The regions that one request may reach, and the region of each failure domain."""

    names: frozenset[str]
    regions: Mapping[FailureDomain, str]

    def includes(self, domain: FailureDomain) -> bool:
        """Return whether a domain is in an allowed region.

        A domain of unknown region is in none.
        """
        return self.regions.get(domain) in self.names

    def describe(self) -> str:
        """Return the names of the regions."""
        return " ".join(sorted(self.names)) or "none"


class Regions:
    """The region of each failure domain, and what routes and customers allow."""

    def __init__(
        self,
        regions: Mapping[FailureDomain, str],
        own_domain: FailureDomain,
        own_region: str,
    ) -> None:
        self.regions = {own_domain: own_region, **regions}

    def find_allowed(
        self, route: HostRoute, customer: HostCustomer | None
    ) -> AllowedRegions | None:
        """Return the regions that both allow, or None if neither restricts them."""
        restrictions = [route.allowed_regions]
        if customer is not None:
            restrictions.append(customer.allowed_regions)
        given = [names for names in restrictions if names is not None]
        if not given:
            return None
        return AllowedRegions(frozenset.intersection(*given), self.regions)
