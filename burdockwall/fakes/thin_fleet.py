"""A simulated fleet whose entry instances have thin links, and its configurations."""

import random
import string
from functools import partial
from typing import Any

import msgspec

from burdockwall.fakes.control import FakeControlLog, FakeSource
from burdockwall.fakes.network import NetworkConditions
from burdockwall.fakes.thin_network import ThinNetwork
from burdockwall.machine import Machine, Message
from burdockwall.process.control.documents import create_put
from burdockwall.process.endpoints import (
    AskEndpoints,
    EndpointChanges,
    EndpointFollower,
    EndpointList,
    EndpointPublisher,
    ListFollower,
    PublishEndpoints,
)
from burdockwall.process.membership.agent import AGENT_MESSAGES, Agent, InstallState
from burdockwall.process.membership.messages import InstanceDetails
from burdockwall.process.membership.missed_updates import VersionNamed
from burdockwall.process.membership.registrar import REGISTRAR_MESSAGES, Registrar
from burdockwall.process.membership.tree import group_members, list_relays
from burdockwall.types import (
    Address,
    DocumentName,
    FailureDomain,
    Incarnation,
    InstanceId,
    OperatorId,
    Role,
)

CONFIGURATION = DocumentName("deployment")
OPERATOR = OperatorId("operator")
CONTROL_INSTANCES = 9
DOMAINS = 4
CONTROL_MBIT_PER_S = 1000.0
ENTRY_MBIT_PER_S = 15.0
DELAY_S = (0.0005, 0.0125)
WARM_UP_S = 8.0
PUBLISH_INTERVAL_S = 0.1
NAME_LETTERS = 8


class RouteTable:
    """A configuration's text, whose routes can be added to and changed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.number = 0
        self.routes: list[dict[str, Any]] = []

    def add_routes(self, count: int) -> None:
        """Add routes with drawn hosts and paths."""
        for _ in range(count):
            place = len(self.routes)
            route = {
                "name": f"r-{self._draw_name()}",
                "host": f"{self._draw_name()[:4]}{place % 99}.example",
                "path-prefix": f"/{self._draw_name()}/",
                "route-kind": "streaming",
                "timeout-ms": 3000,
                "target-latency-ms": 250.0,
                "priority": place % 3,
                "service": "agent-llm",
                "max-attempts": 2,
                "retained": True,
                "retention-s": 60.0,
                "allowed-regions": ["kerala"],
            }
            self.routes.append(route)

    def change_route(self) -> None:
        """Change the time-out of a drawn route."""
        self.random.choice(self.routes)["timeout-ms"] += 1

    def _draw_name(self) -> str:
        return "".join(self.random.choices(string.ascii_lowercase, k=NAME_LETTERS))

    def encode(self) -> bytes:
        """Encode the next numbered configuration."""
        self.number += 1
        return msgspec.json.encode({"version": self.number, "routes": self.routes})


class ThinFleet:
    """Control and entry instances that follow a configuration over their links."""

    def __init__(self, seed: int, entries: int, routes: int = 40) -> None:
        conditions = NetworkConditions(*DELAY_S)
        self.network = ThinNetwork(seed, conditions, self.perform)
        self.log = FakeControlLog()
        self.table = RouteTable(seed)
        self.control = [InstanceId(f"control-{n}") for n in range(CONTROL_INSTANCES)]
        self.entries = [InstanceId(f"entry-{n:03}") for n in range(entries)]
        self.agents: dict[InstanceId, Agent] = {}
        self.publishers: dict[InstanceId, EndpointPublisher] = {}
        # The number of the configuration in force at each entry instance.
        self.in_force: dict[InstanceId, int] = {}
        self.delays_s: dict[int, dict[InstanceId, float]] = {}
        self.accepted_at: dict[int, float] = {}
        self.table.add_routes(routes)
        for number, instance in enumerate(self.control + self.entries):
            self.start(instance, number)
        self.log.elect(self.control[0])
        self.put_configuration()
        self._publish_endpoints()

    def start(self, instance: InstanceId, number: int) -> None:
        """Start an instance, or start it again as its next incarnation."""
        is_control = instance in self.control
        former = self.agents.get(instance)
        address = f"10.1.{number // 250}.{number % 250}"
        details = InstanceDetails(
            instance,
            Incarnation(former.details.incarnation + 1 if former else 1),
            Role.CONTROL if is_control else Role.ENTRY,
            "region",
            FailureDomain(f"domain-{number % DOMAINS}"),
            Address(f"{address}:1"),
            Address(f"{address}:2"),
        )
        agent = self.create_agent(details)
        self.agents[instance] = agent
        self.in_force[instance] = 0
        machines: list[tuple[Machine, tuple[type[Message], ...]]] = [
            (agent, self.list_messages(instance))
        ]
        if is_control:
            publisher = self.publishers[instance] = EndpointPublisher()
            machines.append((self.create_registrar(instance), REGISTRAR_MESSAGES))
            machines.append((publisher, (AskEndpoints,)))
        else:
            machines.append((EndpointFollower(), (EndpointList, EndpointChanges)))
        self.network.start(instance, machines)
        rate = CONTROL_MBIT_PER_S if is_control else ENTRY_MBIT_PER_S
        self.network.set_rate(instance, rate)

    def create_agent(self, details: InstanceDetails) -> Agent:
        """Create the agent of an instance."""
        return Agent(details, self.control)

    def list_messages(self, instance: InstanceId) -> tuple[type[Message], ...]:
        """List the messages that an instance's agent reads."""
        return AGENT_MESSAGES

    def create_registrar(self, instance: InstanceId) -> Registrar:
        """Create the registrar of a control instance."""
        source = FakeSource(instance, self.log)
        agent = self.agents[instance]
        agent.pending.find_local = source.find_document
        return Registrar(
            instance,
            source,
            agent.member_list,
            plans_shards=False,
            patches=agent.patches,
        )

    def perform(self, instance: InstanceId, action: Any, now: float) -> None:
        """Record when an instance has a configuration."""
        match action:
            case VersionNamed():
                self.network.apply(instance, self.agents[instance], action)
            case InstallState():
                self._record_installed(instance, action, now)

    def _record_installed(
        self, instance: InstanceId, action: InstallState, now: float
    ) -> None:
        document = action.replica.documents.get(CONFIGURATION)
        number = document.number if document is not None else 0
        for earlier in range(self.in_force[instance] + 1, number + 1):
            delay_s = now - self.accepted_at[earlier]
            self.delays_s.setdefault(earlier, {})[instance] = delay_s
        self.in_force[instance] = number

    def _publish_endpoints(self) -> None:
        followers = [
            ListFollower(instance, self.agents[instance].details.incarnation)
            for instance in self.entries
        ]
        leader = self.log.leader
        if leader is not None:
            event = PublishEndpoints(
                self.log.term,
                [],
                followers,
                read_changes=frozenset(self.entries),
                version=self.log.state.version,
            )
            self.network.apply(leader, self.publishers[leader], event)
        self.network.schedule(PUBLISH_INTERVAL_S, self._publish_endpoints)

    def put_configuration(self) -> int:
        """Have the next configuration accepted, and return its number."""
        data = self.table.encode()
        number = self.table.number
        self.accepted_at[number] = self.network.now
        self.log.commit(
            create_put(CONFIGURATION, number, data, OPERATOR), self.network.now
        )
        return number

    def restart_entries(self, within_s: float) -> None:
        """End all entry instances, and start each again within a time.

        From the end of that time on, delays are counted anew.
        """
        restarted_at = self.network.now + within_s
        self.delays_s.clear()
        self.accepted_at = dict.fromkeys(self.accepted_at, restarted_at)
        for place, instance in enumerate(self.entries, len(self.control)):
            self.network.crash(instance)
            delay_s = self.network.random.uniform(0.0, within_s)
            self.network.schedule(delay_s, partial(self.start, instance, place))

    def run(self, seconds: float) -> None:
        """Run the fleet for a while."""
        self.network.run_until(self.network.now + seconds)

    def list_relays(self) -> list[InstanceId]:
        """List the entry instances that relay versions to others."""
        entries = self.agents[self.control[0]].member_list.list_entries()
        groups = [group for group in group_members(entries) if len(group) > 1]
        return list_relays(groups)

    def count_relay_bytes(self, before: dict[InstanceId, int]) -> int:
        """Return the most bytes that a relay has sent since the given counts."""
        sent = self.network.sent_bytes
        return max(
            sent.get(relay, 0) - before.get(relay, 0) for relay in self.list_relays()
        )

    def find_slowest_s(self, number: int) -> float:
        """Return when the last entry instance had a configuration, or infinity."""
        delays_s = self.delays_s.get(number, {})
        if any(instance not in delays_s for instance in self.entries):
            return float("inf")
        return max(delays_s[instance] for instance in self.entries)
