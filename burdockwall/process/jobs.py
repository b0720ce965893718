"""Run the jobs of a part of the process side by side."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc

from burdockwall.process.failures import Failures
from burdockwall.process.supervisor import ends_process, find_name

Job = Callable[..., Awaitable[Any]]


async def contain(failures: Failures, job: Job, *arguments: Any) -> None:
    """Run a job; an error costs it alone, unless it has to end the process."""
    try:
        await job(*arguments)
    except Exception as error:
        if ends_process(error):
            raise
        failures.record("task failed", error, task=find_name(job))


class Jobs:
    """The jobs of one part; an error in one costs it alone."""

    def __init__(self, failures: Failures) -> None:
        self.failures = failures
        self._group: anyio.abc.TaskGroup | None = None

    @property
    def running(self) -> bool:
        """Return whether jobs can be started now."""
        return self._group is not None

    def start(self, job: Job, *arguments: Any) -> None:
        """Start a job, unless the part does not run."""
        if self._group is not None:
            self._group.start_soon(contain, self.failures, job, *arguments)

    @asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Run jobs during a block, and cancel those that are left if it raises."""
        async with anyio.create_task_group() as group:
            self._group = group
            try:
                yield
            finally:
                self._group = None

    async def run(self) -> None:
        """Run jobs until cancelled."""
        async with self.open():
            await anyio.sleep_forever()
