"""Ask control instances for the documents of an update, and answer such requests."""

import zlib

import msgspec

from burdockwall.machine import Send
from burdockwall.process.control.changes import Document
from burdockwall.process.membership.documents import DocumentPatches
from burdockwall.process.membership.messages import (
    AskDocument,
    DocumentOutline,
    GiveDocument,
)
from burdockwall.process.membership.patches import Patch
from burdockwall.process.membership.pending import PendingOutlines
from burdockwall.types import DocumentName, InstanceId

FIRST_RETRY_S = 0.3
MAX_RETRY_S = 2.0
RETRY_GROWTH = 1.5
MAX_UNANSWERED = 1024


class _Request(msgspec.Struct):
    digest: bytes
    began_at: float
    asked_at: float
    retry_s: float = FIRST_RETRY_S
    attempts: int = 1


class DocumentRequests:
    """The requests of one instance for documents.

    The instances of a fleet start at different control instances, so that each of
    these sends a document to a part of them. The leader has it first and is next.
    """

    def __init__(self, instance: InstanceId, pending: PendingOutlines) -> None:
        self.instance = instance
        self.pending = pending
        self._requests: dict[DocumentName, _Request] = {}

    def ask(
        self, control: list[InstanceId], leader: InstanceId | None, now: float
    ) -> list[Send]:
        """Ask for what the next update lacks, unless that was just done."""
        missing = self.pending.list_missing()
        self._requests = {
            name: request
            for name, request in self._requests.items()
            if name in missing and missing[name].digest == request.digest
        }
        order = self._order(control, leader)
        if not order:
            return []
        return [
            self._build(name, outline, order)
            for name, outline in missing.items()
            if self._is_due(name, outline, now)
        ]

    def measure_wait(self, now: float) -> float:
        """Return for how long the oldest request has waited, in seconds."""
        began = [request.began_at for request in self._requests.values()]
        return now - min(began, default=now)

    def _order(
        self, control: list[InstanceId], leader: InstanceId | None
    ) -> list[InstanceId]:
        others = [item for item in control if item != self.instance]
        start = zlib.crc32(self.instance.encode()) % max(1, len(others))
        spread = others[start:] + others[:start]
        first, rest = spread[:1], spread[1:]
        if leader is None or leader == self.instance or leader in first:
            return spread
        return [*first, leader, *(item for item in rest if item != leader)]

    def _is_due(self, name: DocumentName, outline: DocumentOutline, now: float) -> bool:
        request = self._requests.get(name)
        if request is None:
            self._requests[name] = _Request(outline.digest, now, now)
            return True
        if now - request.asked_at < request.retry_s:
            return False
        request.asked_at = now
        request.retry_s = min(MAX_RETRY_S, RETRY_GROWTH * request.retry_s)
        request.attempts += 1
        return True

    def _build(
        self, name: DocumentName, outline: DocumentOutline, order: list[InstanceId]
    ) -> Send:
        attempts = self._requests[name].attempts
        held = self.pending.find_held_digest(name)
        message = AskDocument(name, outline.number, outline.digest, held)
        return Send(order[(attempts - 1) % len(order)], message)


class DocumentAnswers:
    """The documents that one instance gives, and the requests that it can't answer."""

    def __init__(self, pending: PendingOutlines, patches: DocumentPatches) -> None:
        self.pending = pending
        self.patches = patches
        self._unanswered: dict[tuple[InstanceId, DocumentName], AskDocument] = {}

    def answer(self, sender: InstanceId, asked: AskDocument) -> list[Send]:
        """Send a document if it is here, or else as soon as it is."""
        document = self.pending.find_latest(asked.name)
        if document is None or not self._serves(document, asked):
            self._store(sender, asked)
            return []
        digest = self.patches.observe(asked.name, document)
        patches = self._choose_patches(asked, digest, document)
        return [Send(sender, GiveDocument(asked.name, document.number, patches))]

    def _choose_patches(
        self, asked: AskDocument, digest: bytes, document: Document
    ) -> tuple[Patch, ...]:
        whole = self.patches.create_whole(digest, document)
        chain = self.patches.find_chain(asked.held, digest) if asked.held else None
        if not chain or sum(len(patch.data) for patch in chain) > len(whole.data):
            return (whole,)
        return chain

    def answer_waiting(self) -> list[Send]:
        """Send the documents that have come since they were asked for."""
        waiting = self._unanswered
        self._unanswered = {}
        return [
            send
            for (sender, _), asked in waiting.items()
            for send in self.answer(sender, asked)
        ]

    def _serves(self, document: Document, asked: AskDocument) -> bool:
        if document.number > asked.number:
            return True
        return self.patches.observe(asked.name, document) == asked.digest

    def _store(self, sender: InstanceId, asked: AskDocument) -> None:
        self._unanswered[sender, asked.name] = asked
        if len(self._unanswered) > MAX_UNANSWERED:
            del self._unanswered[next(iter(self._unanswered))]
