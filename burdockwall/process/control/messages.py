"""Define the messages between the replicas of the control state."""

from burdockwall.machine import Message
from burdockwall.process.control.entries import Entry, Member, VoterId
from burdockwall.types import Term


class ControlMessage(Message, frozen=True):
    """Address a replica by identity; other identities and clusters ignore it."""

    cluster: str
    source: VoterId
    target: VoterId
    term: Term


class AskPreVote(ControlMessage, frozen=True):
    """Ask whether a vote in the next term would be granted."""

    last_index: int
    last_term: Term


class AnswerPreVote(ControlMessage, frozen=True):
    """Tell whether a vote in the asked term would be granted.

    `start` names this start of the replica where nothing but its recent start
    speaks against the vote, and is 0 otherwise.
    """

    asked_term: Term
    granted: bool
    start_id: int = 0


class AskVote(ControlMessage, frozen=True):
    """Ask for the vote in a term.

    `start` names the start of the asked replica whose wait is over, since every
    voter has said that it neither leads nor follows a leader.
    """

    last_index: int
    last_term: Term
    start_id: int = 0


class AnswerVote(ControlMessage, frozen=True):
    """Grant or refuse the vote in a term."""

    granted: bool


class Append(ControlMessage, frozen=True):
    """Send entries that follow the one at `previous_index`; none is a heartbeat.

    `round` numbers the leader's rounds, so that an answer confirms a known one.
    """

    previous_index: int
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


class AnswerAppend(ControlMessage, frozen=True):
    """Confirm the log up to `match`, or say from where to try again."""

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
    """Tell how many bytes of a snapshot have arrived."""

    index: int
    received: int
    round: int


class AskJoin(Message, frozen=True):
    """Ask the leader to add a replica that has no log."""

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
