"""Choose the next membership, changing one voter at a time."""

import msgspec

from burdockwall.process.control.entries import Member, Membership, VoterId
from burdockwall.process.control.leadership import Leadership
from burdockwall.process.control.redundancy import LossBounds, confirm_present
from burdockwall.types import InstanceId

REPLACE_SILENCE_S = 10.0
# A learner that is at most this many entries behind counts as caught up.
CAUGHT_UP_ENTRIES = 16


class VoterPolicy(msgspec.Struct, frozen=True):
    """Rules for which instances may hold a replica and vote.

    Without `allowed_instances` any instance may join. While there are `max_voters`,
    a learner becomes a voter only in place of one that has not answered for
    `replace_silence_s`; there is one more until that is removed. Nothing is committed
    while the voters don't bear the losses of `bounds`.
    """

    allowed_instances: tuple[InstanceId, ...] | None
    max_voters: int | None = None
    replace_silence_s: float = REPLACE_SILENCE_S
    bounds: LossBounds = LossBounds()

    def admits(self, instance: InstanceId) -> bool:
        """Return whether an instance may hold a replica."""
        return self.allowed_instances is None or instance in self.allowed_instances


def add_learner(membership: Membership, member: Member) -> Membership:
    """Add a learner, replacing earlier learners of the same instance."""
    learner = msgspec.structs.replace(member, voting=False)
    others = tuple(
        item
        for item in membership.members
        if item.voting or item.instance != member.instance
    )
    return Membership((*others, learner))


def remove_member(membership: Membership, voter: VoterId) -> Membership:
    """Remove one replica."""
    return Membership(tuple(m for m in membership.members if m.voter != voter))


def promote_learner(membership: Membership, voter: VoterId) -> Membership:
    """Make a learner a voter."""
    return Membership(
        tuple(
            msgspec.structs.replace(member, voting=True)
            if member.voter == voter
            else member
            for member in membership.members
        )
    )


def keeps_quorum(
    membership: Membership, leadership: Leadership, now: float, silence_s: float
) -> bool:
    """Return whether a majority of the voters has answered within `silence_s`."""
    voters = membership.list_voters()
    answering = [
        voter
        for voter in voters
        if voter == leadership.voter
        or now - leadership.progress[voter].last_answer_at < silence_s
    ]
    return len(answering) > len(voters) // 2


def choose_membership(
    membership: Membership,
    leadership: Leadership,
    joining: dict[InstanceId, Member],
    policy: VoterPolicy,
    last_index: int,
    now: float,
    silence_s: float,
) -> Membership | None:
    """Choose the next membership, or None if it need not change.

    A replica joins as a learner and becomes a voter once it has caught up. The
    previous identity of its instance, whose disk is lost, is removed before the new one
    is promoted, since adding the new one first would raise the size of a majority. A
    silent voter of another instance may still have its disk, and may be needed if a
    further disk is lost, so it is removed last.
    """
    confirmed = confirm_present(membership, leadership)
    if confirmed != membership:
        return confirmed
    for member in joining.values():
        is_member = membership.find(member.voter) is not None
        if policy.admits(member.instance) and not is_member:
            return add_learner(membership, member)
    superfluous = _find_superfluous(membership, leadership, policy, now)
    if superfluous is not None:
        changed = remove_member(membership, superfluous)
        if keeps_quorum(changed, leadership, now, silence_s):
            return changed
    for member in membership.members:
        if member.voting or not policy.admits(member.instance):
            continue
        progress = leadership.progress[member.voter]
        behind = last_index - progress.match_index
        silent = now - progress.last_answer_at >= silence_s
        if silent or progress.match_index == 0 or behind > CAUGHT_UP_ENTRIES:
            continue
        replaced = _find_previous_identity(membership, member)
        if replaced is None and not _has_room(membership, leadership, policy, now):
            continue
        if replaced is None:
            changed = promote_learner(membership, member.voter)
        elif not _is_silent(leadership, replaced, now, policy.replace_silence_s):
            continue
        else:
            changed = remove_member(membership, replaced)
        if keeps_quorum(changed, leadership, now, silence_s):
            return changed
    return None


def _find_previous_identity(membership: Membership, learner: Member) -> VoterId | None:
    for member in membership.members:
        if member.voting and member.instance == learner.instance:
            return member.voter
    return None


def _has_room(
    membership: Membership, leadership: Leadership, policy: VoterPolicy, now: float
) -> bool:
    """Return whether there may be one more voter, maybe until a silent one leaves."""
    voters = len(membership.list_voters())
    if policy.max_voters is None or voters < policy.max_voters:
        return True
    silent = _find_longest_silent(membership, leadership, policy, now)
    return voters == policy.max_voters and silent is not None


def _find_superfluous(
    membership: Membership, leadership: Leadership, policy: VoterPolicy, now: float
) -> VoterId | None:
    voters = len(membership.list_voters())
    if policy.max_voters is None or voters <= policy.max_voters:
        return None
    return _find_longest_silent(membership, leadership, policy, now)


def _find_longest_silent(
    membership: Membership, leadership: Leadership, policy: VoterPolicy, now: float
) -> VoterId | None:
    silent = [
        voter
        for voter in membership.list_voters()
        if _is_silent(leadership, voter, now, policy.replace_silence_s)
    ]
    return min(
        silent,
        key=lambda voter: leadership.progress[voter].last_answer_at,
        default=None,
    )


def _is_silent(
    leadership: Leadership, voter: VoterId, now: float, silence_s: float
) -> bool:
    progress = leadership.progress.get(voter)
    return progress is not None and now - progress.last_answer_at >= silence_s
