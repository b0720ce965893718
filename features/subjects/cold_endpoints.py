"""Loads on tool servers that are cold for a time, on a whole site."""

import bisect
import time

import msgspec

from burdockwall.fakes.servers import FakeServer
from burdockwall.platform.configuration import decode_deployment
from burdockwall.platform.server_list import convert_entry
from burdockwall.process.cold_endpoints.judgement import ColdJudge
from burdockwall.request.regions import Regions
from burdockwall.types import FailureDomain, ServiceName
from burdockwall.version.deployment import ColdRule
from features.subjects.platform import PlatformSite, build_configuration

COLD_S = 3.0
COLD_PER_S = 4.0
BOUND = 1.5 * COLD_PER_S + 5
LONG_AGO_S = 1000
# Long enough that both servers are wanted under the load.
WORK_S = 0.1


class ColdSite(PlatformSite):
    """A site with two tool servers; the first is cold after each start."""

    def __init__(self) -> None:
        began_ms = int((time.time() - LONG_AGO_S) * 1000)
        tools = [
            FakeServer(
                "tool-1", "tools", cold_s=COLD_S, started_ms=began_ms, delay_s=WORK_S
            ),
            FakeServer("tool-2", "tools", started_ms=began_ms, delay_s=WORK_S),
        ]
        super().__init__(tools=tools)

    def apply_rule(self) -> None:
        """Put a configuration whose tools have a rule for cold endpoints."""
        configuration = build_configuration(5)
        configuration["services"][0] |= {
            "cold-start-s": COLD_S,
            "cold-per-s": COLD_PER_S,
        }
        assert self.put_configuration(configuration).status_code == 200
        assert self.wait_for(self._is_in_force, 10)

    def _is_in_force(self) -> bool:
        return all(entry.view and entry.view.number == 5 for entry in self.entries)

    def count_asked(self) -> int:
        """Return how many requests have asked for a permit."""
        return sum(entry.endpoint_limits.asked_count for entry in self.entries)

    def list_cold_arrivals(self) -> list[float]:
        """List when the first tool server was sent requests while it was cold."""
        tool = self.tools[0]
        began_at = tool.cold_until - COLD_S
        return sorted(
            item.received_at
            for item in tool.received_requests
            if began_at <= item.received_at < tool.cold_until
        )

    def count_fullest_second(self) -> int:
        """Return the most requests of any second at the cold tool server."""
        times = self.list_cold_arrivals()
        return max(
            (bisect.bisect_left(times, at + 1) - n for n, at in enumerate(times)),
            default=0,
        )

    def count_between(self, first_s: float, last_s: float) -> int:
        """Count the first tool server's requests in a time after it was back."""
        tool = self.tools[0]
        back_at = tool.cold_until - COLD_S
        return sum(
            back_at + first_s <= item.received_at < back_at + last_s
            for item in tool.received_requests
        )


def read_listed(text: str) -> bool:
    """Return whether an entry of the list with a cold time makes its endpoint cold."""
    entry = (
        b'{"id":"e","service":"engines","address":"10.0.0.1:1","zone":"a","state":"ready",'
        b'"version":"v1","slots":8,"cold-left-ms":%s}' % text.encode()
    )
    endpoint = convert_entry(entry)
    assert endpoint is not None
    judge = ColdJudge(0.8)
    judge.install_rules({ServiceName("engines"): ColdRule(3, 2)})
    judge.record_list([endpoint], 10, 10, 1000)
    return endpoint.name in judge.list_cold(10)


def list_reached(route: str, customer: str) -> str:
    """List the domains that a request reaches, of a, b and one without a region."""
    configuration = build_configuration(5)
    for part, name in (("routes", route), ("tenants", customer)):
        if name != "any":
            configuration[part][0]["allowed-regions"] = [name]
    deployment = decode_deployment(msgspec.json.encode(configuration))
    domains = [FailureDomain(name) for name in "abc"]
    known = dict(zip(domains[:2], ("north", "south"), strict=True))
    allowed = Regions(known, FailureDomain("z"), "west").find_allowed(
        deployment.routes[0], deployment.customers[0]
    )
    reached = [name for name in domains if allowed is None or allowed.includes(name)]
    return " ".join(reached) or "none"
