"""Background tasks, jobs and versions that fail."""

import socket
import time
from contextlib import ExitStack

import anyio

from burdockwall.errors import Code
from burdockwall.fakes.ports import find_address
from burdockwall.process.control.files import StorageError
from burdockwall.process.failures import Failures
from burdockwall.process.installation import Installation
from burdockwall.process.jobs import Jobs
from burdockwall.process.membership.messages import StateSnapshot
from burdockwall.process.membership.replica import StateReplica
from burdockwall.process.supervisor import Supervisor
from burdockwall.process.web import serve_address
from burdockwall.types import Version


class SupervisedTask:
    """A task that raises at its first starts."""

    def __init__(self, raises: int, error: Exception, grouped: bool = False) -> None:
        self.failures = Failures()
        self.supervisor = Supervisor(self.failures)
        self.raises = raises
        self.task_error = error
        self.grouped = grouped
        self.starts: list[float] = []
        self.cancelled = False
        self.error: BaseException | None = None

    def run(self, seconds: float) -> None:
        anyio.run(self._run_for, seconds)

    async def _run_for(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            try:
                await self._run()
            except Exception as error:
                self.error = error

    async def _run(self) -> None:
        await self.supervisor.run(self._work)

    async def _work(self) -> None:
        self.starts.append(time.monotonic())
        if len(self.starts) <= self.raises:
            await self._fail()
        try:
            await anyio.sleep_forever()
        except anyio.get_cancelled_exc_class():
            self.cancelled = True
            raise

    async def _fail(self) -> None:
        if not self.grouped:
            raise self.task_error
        async with anyio.create_task_group() as group:
            group.start_soon(anyio.sleep_forever)
            raise self.task_error

    def list_pauses(self) -> list[float]:
        pairs = zip(self.starts, self.starts[1:], strict=False)
        return [later - earlier for earlier, later in pairs]


class SupervisedServer(SupervisedTask):
    """A server whose address another socket holds for a while."""

    def __init__(self, fails_first: bool) -> None:
        super().__init__(0, ValueError("not used"))
        self.address = find_address()
        self.fails_first = fails_first
        self.answers = False
        self._taken = ExitStack()

    def _take(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._taken.enter_context(socket.create_server((host, int(port))))

    async def _run(self) -> None:
        if not self.fails_first:
            self._take()
        async with anyio.create_task_group() as group:
            group.start_soon(self.supervisor.listen, self._serve)
            await anyio.sleep(0.5 if self.fails_first else 0.2)
            self._taken.close()
            while not self.answers:
                await anyio.sleep(0.05)
                await self._connect()
            group.cancel_scope.cancel()

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            stream = await anyio.connect_tcp(host, int(port))
        except OSError:
            return
        await stream.aclose()
        self.answers = True

    async def _serve(self) -> None:
        if self.fails_first:
            self.fails_first = False
            self._take()
            raise ValueError("a server that fails once")
        await serve_address(self.address, self._answer, anyio.Event(), 0.1)

    async def _answer(self, exchange) -> None:
        await exchange.answer(200, [], b"")


class FailingJobs:
    """Jobs of a part, and steps of a task, of which the second raises."""

    def __init__(self) -> None:
        self.failures = Failures()
        self.jobs = Jobs(self.failures)
        self.ended: list[int] = []

    def run(self, seconds: float) -> None:
        anyio.run(self._run_for, seconds)

    async def _run_for(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            async with self.jobs.open():
                for number in (1, 2, 3):
                    self.jobs.start(self._work, number)
                await anyio.sleep_forever()

    async def _work(self, number: int) -> None:
        if number == 2:
            raise ValueError("a job that raises")
        await anyio.sleep(0.05)
        self.ended.append(number)

    def attempt(self) -> None:
        Supervisor(self.failures).attempt(
            lambda: self.ended.append(1), self._raise, lambda: self.ended.append(3)
        )

    def _raise(self) -> None:
        raise ValueError("a step that raises")


class FailingInstallation:
    """An instance where putting a version in force raises some times."""

    def __init__(self, raises: int) -> None:
        self.failures = Failures()
        self.raises = raises
        self.replica = StateReplica()
        self.in_force = Version(0)
        self.installation = Installation(self._put_in_force, self.failures)

    def _put_in_force(self, replica: StateReplica) -> None:
        if self.raises:
            self.raises -= 1
            raise ValueError("a version that isn't put in force")
        self.in_force = replica.version

    def deliver(self) -> None:
        snapshot = StateSnapshot(Version(7), {}, {}, [], {})
        assert self.replica.install_snapshot(snapshot)

    def run(self, seconds: float) -> None:
        anyio.run(self._run_for, seconds)

    async def _run_for(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await self.installation.run(self.replica)


def create_storage_error() -> StorageError:
    return StorageError(Code.DISK_FAILED)
