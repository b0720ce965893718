"""Run control instances on loopback sockets, each with a data folder."""

import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio

from burdockwall.client import OperatorClient
from burdockwall.errors import OperatorError
from burdockwall.fakes.ports import find_address
from burdockwall.process.control.opening import bootstrap_replica, join_replica
from burdockwall.process.node import Node
from burdockwall.settings import Settings
from burdockwall.types import CustomerId, InstanceId, OperatorId, Role
from burdockwall.version.keys import compute_digest
from features.subjects.control_state import print_customers

LIMIT_S = 30.0
TOKEN = "root token"


class ControlSite:
    """Control instances that are started and stopped, and an operator's calls."""

    def __init__(self, count: int) -> None:
        self.folder = tempfile.TemporaryDirectory()
        names = [InstanceId(f"control-{number}") for number in range(1, count + 1)]
        peers = {name: find_address() for name in names}
        self.settings = {
            name: Settings(
                instance_id=name,
                role=Role.CONTROL,
                data_folder=Path(self.folder.name) / name,
                operator_address=find_address(),
                peer_address=peers[name],
                peers=peers if count > 1 else {},
                peer_plaintext=True,
                control_instances=names,
                election_timeout_s=0.8,
                first_operator="root",
                first_operator_digest=compute_digest(TOKEN),
            )
            for name in names
        }
        bootstrap_replica(self.settings[names[0]])
        for name in names[1:]:
            join_replica(self.settings[name])
        self.nodes: dict[InstanceId, Node] = {}
        self.scopes: dict[InstanceId, anyio.CancelScope] = {}
        self.errors: list[OperatorError] = []
        self.actions: list[Callable[[], Awaitable[None]]] = []

    def close(self) -> None:
        self.folder.cleanup()

    def run(self) -> None:
        """Run the actions of the steps in order on one event loop."""
        anyio.run(self._run)

    async def _run(self) -> None:
        async with anyio.create_task_group() as group:
            self.group = group
            for name in self.settings:
                await self.start(name)
            await self.wait(self.is_complete)
            for action in self.actions:
                await action()
            group.cancel_scope.cancel()

    async def start(self, name: InstanceId) -> None:
        node = Node(self.settings[name])
        self.nodes[name] = node
        self.scopes[name] = anyio.CancelScope()
        stopped = anyio.Event()

        async def serve() -> None:
            async with AsyncExitStack() as stack:
                stack.callback(stopped.set)
                stack.callback(node.control.replica.storage.files.close)
                with self.scopes[name]:
                    await node.run()

        node.stopped = stopped
        self.group.start_soon(serve)

    async def stop(self, name: InstanceId) -> None:
        node = self.nodes.pop(name)
        self.scopes[name].cancel()
        with anyio.CancelScope(shield=True):
            await node.stopped.wait()

    async def wait(self, reached: Callable[[], bool]) -> None:
        with anyio.fail_after(LIMIT_S):
            while not reached():
                await anyio.sleep(0.05)

    def find_leader(self) -> InstanceId | None:
        for name, node in self.nodes.items():
            state = node.control.replica.consensus.state
            confirmed = node.control.is_leader_confirmed(node.host.clock())
            if confirmed and state.commit_index == state.log.last_index:
                return name
        return None

    def is_complete(self) -> bool:
        """Return whether all instances vote and the first operator is defined."""
        leader = self.find_leader()
        if leader is None:
            return False
        control = self.nodes[leader].control
        voters = control.replica.consensus.state.log.membership.list_voters()
        return len(voters) == len(self.settings) and bool(control.state.operators)

    def create_client(self, operator: str = "root", token: str = TOKEN):
        """Create a client that calls a follower first, if there is one."""
        leader = self.find_leader()
        names = sorted(self.nodes, key=lambda name: name == leader)
        first, *others = (self.settings[name].operator_address for name in names)
        name = OperatorId(operator)
        return OperatorClient(first, name, token=token, others=tuple(others))

    async def call(self, method: Callable, *arguments) -> object:
        try:
            return await anyio.to_thread.run_sync(lambda: method(*arguments))
        except OperatorError as error:
            self.errors.append(error)
            return None

    async def submit_and_issue(self) -> None:
        client = self.create_client()
        await self.call(client.submit, print_customers("a b"))
        await self.call(client.issue_key, CustomerId("a"))

    async def withdraw(self) -> None:
        await self.submit_and_issue()
        client = self.create_client()
        key = await self.call(client.issue_key, CustomerId("b"))
        outcome = await self.call(client.withdraw_key, key)
        self.in_force = await self.call(client.wait_in_force, outcome.version)

    async def issue_without_leader(self) -> None:
        leader = self.find_leader()
        assert leader is not None
        await self.stop(leader)
        await self.call(self.create_client().issue_key, CustomerId("b"))

    async def issue_in_minority(self) -> None:
        await self.submit_and_issue()
        for name in list(self.nodes)[:2]:
            await self.stop(name)
        await self.call(self.create_client().issue_key, CustomerId("b"))

    async def restart_all(self) -> None:
        for name in list(self.nodes):
            await self.stop(name)
        for name in self.settings:
            await self.start(name)

    async def check_version(self, version: int, count: int) -> None:
        assert not self.errors, self.errors
        await self.wait(lambda: self.find_leader() is not None)

        def reached() -> bool:
            versions = [node.control.version for node in self.nodes.values()]
            return versions == [version] * count

        await self.wait(reached)
