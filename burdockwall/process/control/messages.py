"""Define the messages between the replicas of the control state."""

from burdockwall.machine import Message
from burdockwall.process.control.entries import Entry, Member, VoterId
from burdockwall.types import Term


class ControlMessage(Message, frozen=True):
    """A message to a replica; other identities and clusters ignore it."""

    cluster: str
    source: VoterId
    target: VoterId
    term: Term


class AskPreVote(ControlMessage, frozen=True):
    """Ask whether a vote in the next term would be granted."""

    last_index: int
    last_term: Term


class AnswerPreVote(ControlMessage, frozen=True):
    """Answer whether a vote would be granted; `asked_term` is the term of the request.

    `start_id` identifies the current start of the replica if it refuses only because
    it has just started, and is 0 otherwise.
    """

    asked_term: Term
    granted: bool
    start_id: int = 0


class AskVote(ControlMessage, frozen=True):
    """Ask for the vote in a term.

    `start_id` is the start that the asked replica reported in its pre-vote, or 0. If
    it matches, the replica may vote without waiting for the election timeout, since
    the pre-votes showed that no leader is active.
    """

    last_index: int
    last_term: Term
    start_id: int = 0


class AnswerVote(ControlMessage, frozen=True):
    """Grant or refuse the vote in a term."""

    granted: bool


class Append(ControlMessage, frozen=True):
    """Send the entries after `previous_index`; without entries, a heartbeat.

    `round` is the number of the leader's heartbeat round, which the answer returns.
    """

    previous_index: int
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


class AnswerAppend(ControlMessage, frozen=True):
    """Confirm the log up to `match_index`, or return the highest that may match."""

    success: bool
    match_index: int
    round: int


class SendSnapshot(ControlMessage, frozen=True):
    """Send a part of an encoded snapshot."""

    index: int
    offset: int
    total: int
    part: bytes
    round: int


class AnswerSnapshot(ControlMessage, frozen=True):
    """Answer how many bytes of a snapshot have arrived."""

    index: int
    received: int
    round: int


class AskJoin(Message, frozen=True):
    """Ask the leader to add a replica as a learner."""

    member: Member


AnyControlMessage = (
    AskPreVote
    | AnswerPreVote
    | AskVote
    | AnswerVote
    | Append
    | AnswerAppend
    | SendSnapshot
    | AnswerSnapshot
    | AskJoin
)
CONTROL_MESSAGES: tuple[type[Message], ...] = (
    AskPreVote,
    AnswerPreVote,
    AskVote,
    AnswerVote,
    Append,
    AnswerAppend,
    SendSnapshot,
    AnswerSnapshot,
    AskJoin,
)
