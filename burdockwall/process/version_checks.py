"""Ask the control leader whether a service has had a single software version.

Made for instances that are cut off or stand still while endpoints of a new version
join: their own list may be older than the one from which another instance began a
stream. A leader knows all lists of its term, and while a majority follows it none of a
later term has been sent. So what it says once it is confirmed after it was asked holds
for every stream that began before, however long the answer and its use take.
"""

from collections.abc import Callable
from typing import ClassVar

import msgspec

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.sole_versions import LedVersions, SoleVersion
from burdockwall.types import (
    CallId,
    Incarnation,
    InstanceId,
    ServiceName,
    SoftwareVersion,
    Term,
)

RESEND_S = 0.2
# What is asked beyond is dropped, and asked again by its instance.
MAX_QUESTIONS = 1000


class AskSoleVersion(Message, frozen=True):
    """Asks the leader for the only version that a service has."""

    protocol: ClassVar[int] = 3
    incarnation: Incarnation
    call: CallId
    service: ServiceName


class AnswerSoleVersion(Message, frozen=True):
    """Says which single version a service has had, and for how long.

    `software` is None if the leader's lists of its term do not show a single one.
    """

    protocol: ClassVar[int] = 3
    incarnation: Incarnation
    call: CallId
    software: SoftwareVersion | None
    age_s: float


AnyVersionMessage = AskSoleVersion | AnswerSoleVersion


class ConfirmLeadership(msgspec.Struct, frozen=True):
    """Asks the shell whether a majority follows this leader, from now on."""

    question: int


class LeadershipConfirmed(msgspec.Struct, frozen=True):
    """Says that a majority followed this leader after it was asked to confirm."""

    question: int


class LeadershipUnconfirmed(msgspec.Struct, frozen=True):
    """Says that it is not known whether a majority follows this leader."""

    question: int


class _Question(msgspec.Struct, frozen=True):
    """What was asked, by whom, and the term that was led then."""

    sender: InstanceId
    asked: AskSoleVersion
    term: Term


class VersionOwner:
    """Answers for the lists of a term, each time after a confirmation of the term."""

    def __init__(
        self, versions: LedVersions, get_led_term: Callable[[], Term | None]
    ) -> None:
        self.versions = versions
        self.get_led_term = get_led_term
        self._questions: dict[int, _Question] = {}
        self._latest = 0

    def handle(
        self,
        event: Tick | Receive | LeadershipConfirmed | LeadershipUnconfirmed,
        now: float,
    ) -> list[ConfirmLeadership | Send]:
        """Handle an event; return confirmations to ask for, and answers."""
        match event:
            case Receive(sender=sender, message=AskSoleVersion() as asked):
                return self._confirm(sender, asked)
            case LeadershipConfirmed(question=number):
                question = self._questions.pop(number, None)
                return [] if question is None else self._answer(question, now)
            case LeadershipUnconfirmed(question=number):
                self._questions.pop(number, None)
            case _:
                pass
        return []

    def _confirm(
        self, sender: InstanceId, asked: AskSoleVersion
    ) -> list[ConfirmLeadership | Send]:
        term = self.get_led_term()
        if term is None or len(self._questions) >= MAX_QUESTIONS:
            return []
        self._latest += 1
        self._questions[self._latest] = _Question(sender, asked, term)
        return [ConfirmLeadership(self._latest)]

    def _answer(
        self, question: _Question, now: float
    ) -> list[ConfirmLeadership | Send]:
        if self.get_led_term() != question.term:
            return []
        asked = question.asked
        sole = self.versions.find(question.term, asked.service)
        software = None if sole is None else sole.software
        age_s = 0.0 if sole is None else now - sole.since
        answer = AnswerSoleVersion(asked.incarnation, asked.call, software, age_s)
        return [Send(question.sender, answer)]


class AskVersion(msgspec.Struct, frozen=True):
    """Asks the leader on behalf of a request that is waiting."""

    call: CallId
    service: ServiceName


class WithdrawVersion(msgspec.Struct, frozen=True):
    """Says that a request waits no longer."""

    call: CallId


class LeaderInstalled(msgspec.Struct, frozen=True):
    """Names the leader to ask, or None if none is known."""

    leader: InstanceId | None


class VersionAnswered(msgspec.Struct, frozen=True):
    """Gives the single version of a service, by this instance's clock, or None."""

    call: CallId
    sole: SoleVersion | None


class _Waiting(msgspec.Struct):
    """The service that a request waits for, and when the leader was last asked."""

    service: ServiceName
    asked_at: float


class VersionAsker:
    """Asks the leader until it answers, each request anew.

    An answer is of use only to the request for which it was asked: another one may
    take up a stream that began later.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.leader: InstanceId | None = None
        self._waiting: dict[CallId, _Waiting] = {}

    def handle(
        self,
        event: Tick | Receive | AskVersion | WithdrawVersion | LeaderInstalled,
        now: float,
    ) -> list[Send | VersionAnswered]:
        """Handle an event; return what to ask, and the answers."""
        match event:
            case AskVersion(call=call, service=service):
                self._waiting[call] = _Waiting(service, now)
                return self._ask([call], now)
            case WithdrawVersion(call=call):
                self._waiting.pop(call, None)
            case LeaderInstalled(leader=leader) if leader != self.leader:
                self.leader = leader
                return self._ask(list(self._waiting), now)
            case Receive(message=AnswerSoleVersion() as answer):
                return self._take_answer(answer, now)
            case Tick():
                return self._ask(self._list_due(now), now)
            case _:
                pass
        return []

    def _list_due(self, now: float) -> list[CallId]:
        return [
            call
            for call, waiting in self._waiting.items()
            if now - waiting.asked_at >= RESEND_S
        ]

    def _ask(self, calls: list[CallId], now: float) -> list[Send | VersionAnswered]:
        if self.leader is None:
            return []
        sends: list[Send | VersionAnswered] = []
        for call in calls:
            waiting = self._waiting[call]
            waiting.asked_at = now
            asked = AskSoleVersion(self.incarnation, call, waiting.service)
            sends.append(Send(self.leader, asked))
        return sends

    def _take_answer(
        self, answer: AnswerSoleVersion, now: float
    ) -> list[Send | VersionAnswered]:
        if answer.incarnation != self.incarnation:
            return []
        if self._waiting.pop(answer.call, None) is None:
            return []
        sole = None
        if answer.software is not None:
            # The answer took a while, so the version is the only one for longer.
            sole = SoleVersion(answer.software, now - answer.age_s)
        return [VersionAnswered(answer.call, sole)]
