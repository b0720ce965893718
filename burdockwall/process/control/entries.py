"""Define the entries of the replicated log, its memberships and snapshots."""

from typing import NewType

import msgspec

from burdockwall.types import Address, InstanceId, Term

# Identity of a replica, also of a learner, which does not vote.
VoterId = NewType("VoterId", str)
NO_VOTER = VoterId("")


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica: its identity, and the instance that runs it.

    An identity belongs to one data folder; an instance that lost its folder gets
    another identity. An awaited voter was one from the start and has not answered yet,
    so that its folder may never have existed.
    """

    voter: VoterId
    instance: InstanceId
    peer_address: Address = Address("")
    operator_address: Address = Address("")
    voting: bool = False
    awaited: bool = False


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of a cluster, voters and learners."""

    members: tuple[Member, ...] = ()

    def list_voters(self) -> list[VoterId]:
        """List the identities of the voters."""
        return [member.voter for member in self.members if member.voting]

    def find(self, voter: VoterId) -> Member | None:
        """Return the member with an identity, or None."""
        for member in self.members:
            if member.voter == voter:
                return member
        return None

    def is_voter(self, voter: VoterId) -> bool:
        """Return whether an identity is that of a voter."""
        member = self.find(voter)
        return member is not None and member.voting


class LeaderStart(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Payload of the first entry that a leader appends."""


class MembershipChange(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Payload that sets the membership, in effect as soon as it is in the log."""

    membership: Membership


class Data(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Payload with an encoded command of the replicated state machine."""

    data: bytes


class Entry(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """One entry of the log."""

    term: Term
    index: int
    payload: LeaderStart | MembershipChange | Data


class HardState(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The cluster, term and vote that a replica must persist."""

    cluster: str = ""
    term: Term = Term(0)
    voted_for: VoterId = NO_VOTER


class Base(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Index of the snapshot that a journal follows, 0 without a snapshot."""

    index: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The replicated state after the entry at `index`."""

    index: int
    term: Term
    membership: Membership
    data: bytes
