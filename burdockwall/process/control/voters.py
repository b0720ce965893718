"""Decide the next change of the membership, one voter at a time."""

from dataclasses import dataclass

import msgspec

from burdockwall.process.control.entries import Member, Membership, VoterId
from burdockwall.process.control.leadership import Leadership
from burdockwall.types import InstanceId

REPLACE_SILENCE_S = 10.0
CAUGHT_UP_ENTRIES = 16


@dataclass(frozen=True, slots=True)
class VoterPolicy:
    """Say who may vote.

    Without `allowed` any instance may join. With `voters` set, a learner beyond that
    many waits until it can take the place of a voter that is silent.
    """

    allowed_instances: tuple[InstanceId, ...] | None
    max_voters: int | None = None
    replace_silence_s: float = REPLACE_SILENCE_S

    def admits(self, instance: InstanceId) -> bool:
        """Tell whether an instance may hold a replica."""
        return self.allowed_instances is None or instance in self.allowed_instances


def add_learner(membership: Membership, member: Member) -> Membership:
    """Add a learner in place of older learners of the same instance."""
    learner = msgspec.structs.replace(member, voting=False)
    kept = tuple(
        item
        for item in membership.members
        if item.voting or item.instance != member.instance
    )
    return Membership((*kept, learner))


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
    """Tell whether a majority of a membership's voters has answered lately."""
    voters = membership.list_voters()
    heard = [
        voter
        for voter in voters
        if voter == leadership.voter
        or now - leadership.progress[voter].last_answer_at < silence_s
    ]
    return len(heard) > len(voters) // 2


def choose_membership(
    membership: Membership,
    leadership: Leadership,
    joining: dict[VoterId, Member],
    policy: VoterPolicy,
    last_index: int,
    now: float,
    silence_s: float,
) -> Membership | None:
    """Choose the next membership, or None while none is due.

    A replica joins as a learner, and votes once it has caught up. The identity
    that its instance had before is removed first: a majority of those left is
    then smaller than if the new one were added first.
    """
    for member in joining.values():
        known = membership.find(member.voter) is not None
        if policy.admits(member.instance) and not known:
            return add_learner(membership, member)
    for member in membership.members:
        if member.voting or not policy.admits(member.instance):
            continue
        progress = leadership.progress[member.voter]
        behind = last_index - progress.match_index
        silent = now - progress.last_answer_at >= silence_s
        if silent or progress.match_index == 0 or behind > CAUGHT_UP_ENTRIES:
            continue
        former = _find_previous_identity(membership, member)
        if former is None and _is_full(membership, policy):
            former = _find_longest_silent(membership, leadership)
            if former is None:
                continue
        if former is None:
            changed = promote_learner(membership, member.voter)
        elif not _is_silent(leadership, former, now, policy.replace_silence_s):
            continue
        else:
            changed = remove_member(membership, former)
        if keeps_quorum(changed, leadership, now, silence_s):
            return changed
    return None


def _find_previous_identity(membership: Membership, learner: Member) -> VoterId | None:
    for member in membership.members:
        if member.voting and member.instance == learner.instance:
            return member.voter
    return None


def _is_full(membership: Membership, policy: VoterPolicy) -> bool:
    voters = len(membership.list_voters())
    return policy.max_voters is not None and voters >= policy.max_voters


def _find_longest_silent(
    membership: Membership, leadership: Leadership
) -> VoterId | None:
    others = [
        voter for voter in membership.list_voters() if voter in leadership.progress
    ]
    if not others:
        return None
    return min(others, key=lambda voter: leadership.progress[voter].last_answer_at)


def _is_silent(
    leadership: Leadership, voter: VoterId, now: float, silence_s: float
) -> bool:
    progress = leadership.progress.get(voter)
    return progress is not None and now - progress.last_answer_at >= silence_s
