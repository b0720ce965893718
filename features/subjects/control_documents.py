"""Run control replicas that compact by bytes, on documents of many sizes."""

from contextlib import ExitStack
from unittest.mock import patch

from burdockwall.process.control.commands import PutDocument
from burdockwall.process.control.consensus import Consensus
from burdockwall.types import DocumentName, OperatorId
from features.subjects.control_cluster import ControlCluster

SMALL_BOUNDS = {
    "consensus_state.COMPACT_BYTES": 3000,
    "consensus_state.UNCOMMITTED_BYTES": 4000,
    "consensus.RETAINED_BYTES": 1500,
    "consensus.HELD_BYTES": 4000,
}
LARGEST_BYTES = 1500
DOCUMENTS = 3


def patch_bounds() -> ExitStack:
    """Replace the bounds in bytes by small ones until the returned stack is closed."""
    stack = ExitStack()
    for name, value in SMALL_BOUNDS.items():
        stack.enter_context(patch(f"burdockwall.process.control.{name}", value))
    return stack


def create_consensus(member, recovered, names, rng, timing, _compact_entries):
    """Create consensus with the product's own bound on the number of entries."""
    return Consensus(member, recovered, names, rng, timing)


class DocumentsCluster(ControlCluster):
    """A cluster that also stores documents, some under outdated numbers."""

    consensus_class = staticmethod(create_consensus)

    def build_command(self, node):
        """Build a put of a document, or another command."""
        if self.rng.random() < 0.3:
            return super().build_command(node)
        number = max(1, self.count - self.rng.choice((0, 0, 0, 20)))
        return PutDocument(
            operator=OperatorId(str(node.name)),
            submission=f"s{self.count}",
            name=DocumentName(f"document {self.rng.randrange(DOCUMENTS)}"),
            number=number,
            data=self.rng.randbytes(self.rng.randrange(LARGEST_BYTES)),
        )
