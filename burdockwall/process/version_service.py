"""Confirm the leadership of this instance for each question about versions."""

from collections.abc import Awaitable, Callable

import anyio

from burdockwall.errors import OperatorError
from burdockwall.process.host import Host
from burdockwall.process.version_checks import (
    AskSoleVersion,
    ConfirmLeadership,
    LeadershipConfirmed,
    LeadershipUnconfirmed,
    VersionOwner,
)


class VersionService:
    """The questions that instances ask this one while it leads."""

    def __init__(
        self,
        host: Host,
        owner: VersionOwner,
        confirm_read: Callable[[], Awaitable[None]],
    ) -> None:
        self.host = host
        self.confirm_read = confirm_read
        self._hosted = host.add(owner, (AskSoleVersion,), self._perform)
        self._questions: list[int] = []
        self._due = anyio.Event()

    def _perform(self, action: ConfirmLeadership) -> None:
        self._questions.append(action.question)
        self._due.set()

    async def run(self) -> None:
        """Confirm the leadership whenever something was asked, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._due.wait()
                self._due = anyio.Event()
                questions, self._questions = self._questions, []
                group.start_soon(self._confirm, questions)

    async def _confirm(self, questions: list[int]) -> None:
        try:
            await self.confirm_read()
        except OperatorError:
            for question in questions:
                self.host.apply(self._hosted, LeadershipUnconfirmed(question))
            return
        for question in questions:
            self.host.apply(self._hosted, LeadershipConfirmed(question))
