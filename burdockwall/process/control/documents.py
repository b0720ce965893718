"""Store and read numbered documents in the control state."""

import hashlib
from collections.abc import Callable

import anyio
import logbook

from burdockwall.errors import Code, OperatorError, find_code
from burdockwall.process.control.changes import Document
from burdockwall.process.control.commands import Outcome, PutDocument
from burdockwall.process.control.service import ControlService
from burdockwall.process.control.state import NO_CREDENTIAL
from burdockwall.types import Address, DocumentName, KeyDigest, OperatorId, Version

DIGEST_BYTES = 8
MS_PER_S = 1000
# Up to eight operators' orders come at once and each wins once; the leader's own
# proposals take some numbers too.
MAX_REVISIONS = 16


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
        began_at = anyio.current_time()
        outcome = await self.control.run_command(command)
        took_s = anyio.current_time() - began_at
        self._logger.notice(
            "document accepted",
            extra={
                "document": name,
                "number": number,
                "digest": digest_data(data),
                "version": outcome.version,
                "in_force": self.control.state.documents[name].number,
                "took_ms": round(took_s * MS_PER_S),
            },
        )

    async def revise(
        self,
        name: DocumentName,
        revise: Callable[[Document | None], bytes | None],
        operator: OperatorId,
        credential: KeyDigest = NO_CREDENTIAL,
    ) -> bool:
        """Replace a document by what `revise` makes of it; return whether it did.

        If another change of the document comes first, `revise` is called again with
        the result of that. None means that nothing need be changed. Raise
        OperatorError if the change was refused or its outcome is unknown.
        """
        for _ in range(MAX_REVISIONS):
            document = await self.read(name)
            data = revise(document)
            if data is None:
                return False
            number = 1 + (document.number if document is not None else 0)
            command = create_put(name, number, data, operator)
            outcome = await self.control.run_command(command, credential)
            if outcome.code:
                raise OperatorError(find_code(outcome.code), outcome.detail)
            if self._has_stored(command, outcome):
                return True
            extra = {"document": name, "number": number}
            self._logger.info("document changed by another", extra=extra)
        detail = f"{MAX_REVISIONS} other changes of {name} came first"
        raise OperatorError(Code.CHANGE_UNKNOWN, detail)

    def _has_stored(self, command: PutDocument, outcome: Outcome) -> bool:
        """Return whether the version of an outcome stored the document.

        The outcome of a put whose number is taken has the version of a later change.
        """
        changes = self.control.state.changes_since(Version(outcome.version - 1))
        if not changes:
            return False
        document = Document(command.number, command.data)
        return changes[0].documents.get(command.name) == document

    def find(self, name: DocumentName) -> Document | None:
        """Return the document that is applied on this instance, or None."""
        return self.control.state.documents.get(name)

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
