"""Store and read numbered documents in the control state."""

import hashlib

import logbook

from burdockwall.process.control.changes import Document
from burdockwall.process.control.commands import PutDocument
from burdockwall.process.control.service import ControlService
from burdockwall.types import Address, DocumentName, OperatorId

DIGEST_BYTES = 8


class Documents:
    """Access to the documents of the control state, through its leader."""

    def __init__(self, control: ControlService) -> None:
        self.control = control
        self._logger = logbook.Logger("documents")

    async def put(
        self, name: DocumentName, number: int, data: bytes, operator: OperatorId
    ) -> None:
        """Store a document unless one with its number or a higher one is stored.

        Raise OperatorError if the command fails.
        """
        command = create_put(name, number, data, operator)
        outcome = await self.control.run_command(command)
        self._logger.notice(
            "document accepted",
            extra={
                "document": name,
                "number": number,
                "digest": digest_data(data),
                "version": outcome.version,
                "in_force": self.control.state.documents[name].number,
            },
        )

    async def read(self, name: DocumentName) -> Document | None:
        """Return the latest document, or raise OperatorError if it is not confirmed."""
        await self.control.confirm_read()
        return self.control.state.documents.get(name)

    def find_leader_address(self) -> Address | None:
        """Return the leader's operator address if another instance leads."""
        consensus = self.control.replica.consensus
        leader = consensus.find_leader()
        if leader is None or consensus.is_leader or not leader.operator_address:
            return None
        return leader.operator_address


def create_put(
    name: DocumentName, number: int, data: bytes, operator: OperatorId
) -> PutDocument:
    """Create the command that stores a document.

    The submission depends only on the document, so sending it again is idempotent.
    """
    return PutDocument(
        operator=operator,
        submission=f"{name} {number} {digest_data(data)}",
        name=name,
        number=number,
        data=data,
    )


def digest_data(data: bytes) -> str:
    """Compute a digest that distinguishes documents with the same number."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
