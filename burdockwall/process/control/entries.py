"""Define what the replicated log and its snapshots hold."""

from typing import NewType

import msgspec

from burdockwall.types import Address, InstanceId, Term

VoterId = NewType("VoterId", str)
NOBODY = VoterId("")


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe a replica: its identity, and the instance that it lives on.

    An identity belongs to one data folder; an instance that lost its folder
    comes back under another identity.
    """

    voter: VoterId
    instance: InstanceId
    peer_address: Address = Address("")
    operator_address: Address = Address("")
    voting: bool = False


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """List the replicas, voters and learners."""

    members: tuple[Member, ...] = ()

    def list_voters(self) -> list[VoterId]:
        """List the identities that count towards a quorum."""
        return [member.voter for member in self.members if member.voting]

    def find(self, voter: VoterId) -> Member | None:
        """Return the member with an identity, or None."""
        for member in self.members:
            if member.voter == voter:
                return member
        return None

    def is_voter(self, voter: VoterId) -> bool:
        """Tell whether an identity counts towards a quorum."""
        member = self.find(voter)
        return member is not None and member.voting


class LeaderStart(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Mark the first entry of a leader."""


class MembershipChange(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Replace the membership; it holds as soon as it is in the log."""

    membership: Membership


class Data(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Carry a command of the state machine that is replicated."""

    data: bytes


class Entry(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Hold one entry of the log."""

    term: Term
    index: int
    payload: LeaderStart | MembershipChange | Data


class HardState(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Hold what a replica must not forget: cluster, term and vote."""

    cluster: str = ""
    term: Term = Term(0)
    voted_for: VoterId = NOBODY


class Base(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Name the snapshot that a journal follows, 0 for the start of the log."""

    index: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Hold the replicated state after the entry at `index`."""

    index: int
    term: Term
    membership: Membership
    data: bytes
