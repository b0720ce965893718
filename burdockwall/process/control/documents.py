"""Put and read numbered documents of the control state."""

import hashlib

import logbook

from burdockwall.process.control.changes import Document
from burdockwall.process.control.commands import PutDocument
from burdockwall.process.control.service import ControlService
from burdockwall.types import Address, DocumentName, OperatorId

DIGEST_BYTES = 8


class Documents:
    """Serve the documents of the control state, at its leader."""

    def __init__(self, control: ControlService) -> None:
        self.control = control
        self._logger = logbook.Logger("documents")

    async def put(
        self, name: DocumentName, number: int, data: bytes, operator: OperatorId
    ) -> None:
        """Keep a document unless its number is passed, or raise OperatorError."""
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
        """Return the newest document, or raise OperatorError where unsure."""
        await self.control.confirm_read()
        return self.control.state.documents.get(name)

    def find_leader_address(self) -> Address | None:
        """Return the operator address of the leader, where another one leads."""
        consensus = self.control.replica.consensus
        leader = consensus.find_leader()
        if leader is None or consensus.is_leader or not leader.operator_address:
            return None
        return leader.operator_address


def create_put(
    name: DocumentName, number: int, data: bytes, operator: OperatorId
) -> PutDocument:
    """Create the command that keeps a document; sent again, it is one submission."""
    return PutDocument(
        operator=operator,
        submission=f"{name} {number} {digest_data(data)}",
        name=name,
        number=number,
        data=data,
    )


def digest_data(data: bytes) -> str:
    """Compute the digest that tells documents of one number apart."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
