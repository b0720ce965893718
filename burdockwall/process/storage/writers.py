"""Choose the stores that are sent the end of a turn first.

Made for long prompts on entry instances with narrow links: the other stores of the
group copy the turn from these, over links that are wider.
"""

import zlib

from burdockwall.process.storage.view import StoreView
from burdockwall.types import InstanceId, TurnId

# Stores beyond a quorum, so that one that is frozen delays no turn.
SPARE_WRITERS = 1


def choose_writers(
    view: StoreView, turn: TurnId, nearest: InstanceId | None
) -> list[InstanceId]:
    """Return a quorum of the stores and one more, the nearest first.

    Turns are spread over the stores by the hash of their id. The nearest store is
    included, since the next turn is likely to ask it for the chain.
    """
    ordered = sorted(
        view.instances,
        key=lambda store: (store != nearest, zlib.crc32(f"{turn}|{store}".encode())),
    )
    return ordered[: view.write_quorum + SPARE_WRITERS]
