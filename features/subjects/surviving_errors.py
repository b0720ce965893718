"""A site on the platform whose instances' background work raises."""

import inspect
import time
from collections.abc import Callable
from typing import Any

import anyio

from burdockwall.errors import BurdockwallError
from burdockwall.process.control_node import ControlNode
from burdockwall.process.ending import list_causes
from features.subjects.platform import (
    READY_LIMIT_S,
    PlatformSite,
    build_configuration,
    build_routes,
    build_turn_headers,
)

RAISE_LIMIT_S = 6.0
# Errors reach the end of a process within this time, or not at all.
SETTLE_S = 1.0
NEW_RATE_PER_S = 40
UNITS_PER_REQUEST = 1000


def raise_at_first(owner: Any, name: str, times: int, error: Exception) -> list[int]:
    """Let a method raise at its first calls; return the number that is left."""
    replaced = getattr(owner, name)
    left = [times]

    def check() -> None:
        if left[0]:
            left[0] -= 1
            raise error

    async def run_later(*arguments: Any) -> Any:
        check()
        return await replaced(*arguments)

    def run(*arguments: Any) -> Any:
        check()
        return replaced(*arguments)

    setattr(owner, name, run_later if inspect.iscoroutinefunction(replaced) else run)
    return left


class SurvivingSite(PlatformSite):
    """A site that records which instances have ended, and with which error."""

    def __init__(self) -> None:
        super().__init__()
        self.ended: dict[str, BaseException | None] = {}
        self.left: list[list[int]] = []

    def _start(self, name: str, run: Callable) -> None:
        async def run_and_record(path: None) -> None:
            error: BaseException | None = None
            try:
                await run(path)
            except Exception as raised:
                error = raised
            self.ended[name] = error

        super()._start(name, run_and_record)

    def find_leader(self) -> ControlNode:
        for node in self.control_nodes:
            if node.member.membership.is_leading():
                return node
        raise AssertionError("no control instance leads")

    def raise_in(self, work: str, times: int) -> None:
        self.call_in_loop(self._replace, work, times)
        give_up_at = time.monotonic() + RAISE_LIMIT_S
        while any(left[0] for left in self.left) and time.monotonic() < give_up_at:
            self._cause(work)
            anyio.run(anyio.sleep, 0.1)
        assert not any(left[0] for left in self.left), (self.left, self.ended)
        anyio.run(anyio.sleep, SETTLE_S)

    def _replace(self, work: str, times: int) -> None:
        error = LookupError("work that raises")
        self.left = [
            raise_at_first(owner, name, times, error)
            for owner, name in self._list_owners(work)
        ]

    def _list_owners(self, work: str) -> list[tuple[Any, str]]:
        entries = self.entries
        members = [
            node.member for node in (*self.control_nodes, *self.stores, *entries)
        ]
        match work:
            case "installing the addresses to check":
                return [(entry.reach, "install") for entry in entries]
            case "sharing suspects":
                return [(entry.crashes, "install_instances") for entry in entries]
            case "expiring idle connections":
                return [(entry.upstreams, "expire") for entry in entries]
            case "checking an endpoint":
                return [(entry.upstreams, "check") for entry in entries]
            case "settling a turn":
                return [(entries[0], "_settle_turn")]
            case "planning the stores":
                return [(self.find_leader(), "_plan_stores")]
            case "reading the server list":
                return [(self.find_leader().reader, "read")]
            case "choosing health checks":
                return [(self.find_leader().cold.judge, "start_checks")]
            case "publishing the server list":
                return [(self.find_leader().publisher, "handle")]
            case "ticking the membership agent":
                return [(member.membership.agent, "handle") for member in members]
            case "decoding it":
                return [(entries[0], "decode")]
            case "installing its rates":
                return [(entries[0].gate, "install")]
            case "reading its stores":
                return [(entries[0].turn_client, "install_view")]
        raise AssertionError(f"no such work: {work}")

    def _cause(self, work: str) -> None:
        match work:
            case "checking an endpoint":
                self.call_in_loop(self._fail_connections)
            case "settling a turn":
                self.call_in_loop(self.entries[0]._settle_later, None, None)
            case _:
                pass

    def _fail_connections(self) -> None:
        for entry in self.entries:
            listed = entry.endpoints.addresses[0]
            entry.reach.record_connect(listed[0], False)

    def send_turn(self) -> None:
        turn = f"{time.monotonic_ns():016x}"
        self.send_request("POST", "/chat/1", build_turn_headers(turn, None, 10_000))

    def add_route(self, work: str, times: int) -> None:
        """Add the route /new/ while putting it in force raises at instance 1."""
        self.call_in_loop(self._replace, work, times)
        route = build_routes()[0] | {"name": "new", "path-prefix": "/new/"}
        configuration = build_configuration(4, [*build_routes(), route])
        configuration["tenants"][0]["rate-per-s"] = NEW_RATE_PER_S
        assert self.put_configuration(configuration).status_code == 200

    def read_rates(self) -> list[float]:
        """Read the rates of instance 1 that its gate uses."""
        limits = self.entries[0].gate.limits
        return [limit.rate_per_s / UNITS_PER_REQUEST for limit in limits.values()]

    def ask(self, path: str, instance: int) -> int:
        headers = {"x-request-id": f"{time.monotonic_ns():016x}"}
        headers["x-api-key"] = "key-one"
        answer = self.send_request("GET", path, headers, instance=instance)
        return answer.status_code

    def fail_write(self, number: int) -> None:
        storage = self.control_nodes[number - 1].control.replica.storage
        error = OSError("a disk that fails")
        self.call_in_loop(raise_at_first, storage.files, "sync", 99, error)
        configuration = build_configuration(5)

        def is_accepted() -> bool:
            return self.put_configuration(configuration).status_code == 200

        # The instance may lead, so that the operator has to send the change again.
        assert self.wait_for(is_accepted, READY_LIMIT_S)

    def fail_encoding(self, number: int) -> None:
        journal = self.stores[number - 1].service.journal
        error = OverflowError("a record that can't be encoded")
        self.call_in_loop(raise_at_first, journal, "write", 1, error)
        self.send_turn()

    def fail_ledger(self, number: int) -> None:
        ledger = self.stores[number - 1].service.ledger
        error = LookupError("a ledger that raises")
        self.call_in_loop(raise_at_first, ledger, "_begin", 1, error)
        self.send_turn()

    def list_codes(self, name: str) -> list[int]:
        """List the codes of the errors with which an instance ended."""
        error = self.ended.get(name)
        causes = list_causes(error) if error is not None else ()
        return [
            cause.code.value.number
            for cause in causes
            if isinstance(cause, BurdockwallError)
        ]
