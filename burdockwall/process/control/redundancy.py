"""Decide whether the voters bear the tolerated losses, so that entries may commit."""

import msgspec

from burdockwall.process.control.entries import Member, Membership
from burdockwall.process.control.leadership import Leadership

# Fleets with this many seeds may have further control instances.
ALL_SEEDS = 3
# All instances start at about the same time, and ask to join once a second.
JOIN_WAIT_S = 3.0
# An awaited voter that hasn't come so long after an election is one of the losses.
ABSENT_WAIT_S = 2.5


class LossBounds(msgspec.Struct, frozen=True):
    """How many disks may be lost at once, and how many seeds the fleet has.

    With fewer than ALL_SEEDS there are no control instances but the seeds.
    """

    losses: int = 0
    seeds: int = 0

    @property
    def needed_voters(self) -> int:
        """Return how many voters keep a majority after the losses."""
        return 2 * self.losses + 1

    @property
    def expected_voters(self) -> int:
        """Return how many voters there will be as far as the seeds tell."""
        if self.seeds >= ALL_SEEDS:
            return self.needed_voters
        return min(self.needed_voters, self.seeds)


def bears_losses(
    membership: Membership,
    leadership: Leadership,
    bounds: LossBounds,
    now: float,
    silence_s: float,
    joining: bool,
) -> bool:
    """Return whether what a majority of the voters has survives the losses.

    It does if a majority of the voters remains. Voters that never come count among the
    losses after a while. A fleet with too few control instances goes on once no other
    asks to join.
    """
    voters = [member for member in membership.members if member.voting]
    quorum = len(voters) // 2 + 1
    absent = sum(not is_present(member, leadership) for member in voters)
    if len(voters) - absent - bounds.losses >= quorum:
        return True
    led_s = now - leadership.elected_at
    if absent > bounds.losses or (absent and led_s < ABSENT_WAIT_S):
        return False
    if len(voters) - bounds.losses >= quorum:
        return True
    if quorum < count_copies(membership, bounds):
        return False
    few = len(voters) < bounds.expected_voters
    if joining or (few and leadership.founding and led_s < JOIN_WAIT_S):
        return False
    return not _has_answering_learner(membership, leadership, now, silence_s)


def is_present(member: Member, leadership: Leadership) -> bool:
    """Return whether a voter has a disk with the log, as far as anyone has heard."""
    if not member.awaited or member.voter == leadership.voter:
        return True
    return leadership.progress[member.voter].match_index > 0


def confirm_present(membership: Membership, leadership: Leadership) -> Membership:
    """Cease to await the voters that have answered."""
    return Membership(
        tuple(
            msgspec.structs.replace(member, awaited=False)
            if is_present(member, leadership)
            else member
            for member in membership.members
        )
    )


def count_copies(membership: Membership, bounds: LossBounds) -> int:
    """Return on how many disks an entry must be, if there are enough instances."""
    instances = {member.instance for member in membership.members}
    if max(len(instances), bounds.seeds) < bounds.needed_voters:
        return 1
    return bounds.losses + 1


def _has_answering_learner(
    membership: Membership, leadership: Leadership, now: float, silence_s: float
) -> bool:
    return any(
        now - leadership.progress[member.voter].last_answer_at < silence_s
        for member in membership.members
        if not member.voting
    )
