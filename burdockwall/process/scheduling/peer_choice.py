"""Choose the entry instance that serves a request for one that is cut off.

The load on peers is bounded: an instance has at most RELAY_LIMIT requests at peers, and
spreads them over the peers of its own failure domain, where it has any.
"""

import random
from collections import Counter
from collections.abc import Iterable, Set

from burdockwall.process.resolver import EntryInstance
from burdockwall.types import EndpointState, FailureDomain, InstanceId

# Most requests of one instance that its peers serve at a time.
RELAY_LIMIT = 64
# A peer that took no connection is not chosen again for this time.
AVOID_S = 2.0


class PeerChoice:
    """Chooses among the peers, and counts the requests that each is serving."""

    def __init__(
        self, own: InstanceId, own_domain: FailureDomain, generator: random.Random
    ) -> None:
        self.own = own
        self.own_domain = own_domain
        self.generator = generator
        self._under_way: Counter[InstanceId] = Counter()
        self._avoided_until: dict[InstanceId, float] = {}

    def choose(
        self,
        members: Iterable[EntryInstance],
        now: float,
        excluded: Set[InstanceId] = frozenset(),
    ) -> EntryInstance | None:
        """Return the peer for a request, or None if none may take it.

        A peer that is leaving or itself cut off is not live, and takes none.
        """
        if self._under_way.total() >= RELAY_LIMIT:
            return None
        peers = [
            member
            for member in members
            if member.instance != self.own
            and member.state is EndpointState.LIVE
            and member.instance not in excluded
            and self._avoided_until.get(member.instance, now) <= now
        ]
        near = [peer for peer in peers if peer.failure_domain == self.own_domain]
        return min(
            near or peers,
            key=lambda peer: (
                self._under_way[peer.instance],
                self.generator.random(),
            ),
            default=None,
        )

    def is_idle(self) -> bool:
        """Return whether no peer serves a request for this instance."""
        return not self._under_way

    def record_start(self, peer: InstanceId) -> None:
        """Count a request that is passed on to a peer."""
        self._under_way[peer] += 1

    def record_end(self, peer: InstanceId) -> None:
        """Count a request that a peer no longer serves."""
        self._under_way[peer] -= 1
        if not self._under_way[peer]:
            del self._under_way[peer]

    def record_failure(self, peer: InstanceId, now: float) -> None:
        """Avoid a peer that took no connection."""
        self._avoided_until[peer] = now + AVOID_S
