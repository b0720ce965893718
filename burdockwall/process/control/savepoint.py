"""Save the parts of the control state that a command changes, and restore them.

Load: once a command. Key digests and changes are many, so they are not copied: a
command replaces the keys as a whole, or changes one as its last step, which can't fail.
The log of changes is extended next to last.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from burdockwall.process.control.changes import Document
from burdockwall.process.control.commands import Operator
from burdockwall.process.control.image import StoredConfiguration
from burdockwall.process.control.withdrawals import WithdrawnKeys
from burdockwall.types import (
    CustomerId,
    DocumentName,
    KeyDigest,
    OperatorId,
    ShardId,
    Version,
)
from burdockwall.version.shards import ShardView

if TYPE_CHECKING:
    from burdockwall.process.control.state import ControlState


class Savepoint(msgspec.Struct, frozen=True):
    """The parts of a state before a command."""

    version: Version
    configuration_version: Version
    configuration_operator: OperatorId
    sections: dict[str, str]
    history: tuple[StoredConfiguration, ...]
    keys: dict[KeyDigest, CustomerId]
    withdrawn: WithdrawnKeys
    shards: dict[ShardId, ShardView]
    operators: dict[OperatorId, Operator]
    documents: dict[DocumentName, Document]

    def restore(self, state: ControlState) -> None:
        """Put the saved parts back."""
        state.version = self.version
        state.configurations.restore(
            self.configuration_version,
            self.configuration_operator,
            self.sections,
            self.history,
        )
        state.keys = self.keys
        state.withdrawn = self.withdrawn
        state.shards = self.shards
        state.operators = self.operators
        state.documents = self.documents


def save_parts(state: ControlState) -> Savepoint:
    """Save the parts of a state that the next command may change."""
    configurations = state.configurations
    return Savepoint(
        state.version,
        configurations.version,
        configurations.operator,
        configurations.sections,
        tuple(configurations.history),
        state.keys,
        state.withdrawn,
        dict(state.shards),
        dict(state.operators),
        dict(state.documents),
    )
