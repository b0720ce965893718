"""Hold received outlines until their documents are here."""

from collections import deque
from collections.abc import Callable

import msgspec

from burdockwall.process.control.changes import Document
from burdockwall.process.membership.documents import DocumentPatches
from burdockwall.process.membership.messages import (
    ChangesOutline,
    DocumentOutline,
    GiveDocument,
    SnapshotOutline,
    StateChanges,
    StateSnapshot,
)
from burdockwall.process.membership.patches import (
    NO_BASE,
    Patch,
    PatchInvalid,
    apply_patch,
)
from burdockwall.process.membership.replica import StateReplica
from burdockwall.types import DocumentName, Version

MAX_OUTLINES = 1024

Outline = ChangesOutline | SnapshotOutline
FindDocument = Callable[[DocumentName], Document | None]


def find_none(name: DocumentName) -> Document | None:
    """Find no document."""
    return None


class PendingOutlines:
    """Outlines that are not installed, in the order of their versions.

    `find_local` finds documents that this instance has from elsewhere.
    """

    def __init__(self, replica: StateReplica, patches: DocumentPatches) -> None:
        self.replica = replica
        self.patches = patches
        self.find_local: FindDocument = find_none
        self._outlines: deque[Outline] = deque()
        # Documents that were given or made, until no outline waits.
        self._given: dict[DocumentName, Document] = {}
        # Names whose patches were invalid; their documents are asked for whole.
        self._distrusted: set[DocumentName] = set()

    @property
    def version(self) -> Version:
        """Return the version that is installed once all outlines are."""
        latest = self._outlines[-1].version if self._outlines else Version(0)
        return max(latest, self.replica.version)

    def add(self, outline: Outline) -> bool:
        """Add an outline; return False if others before it are missing."""
        if outline.version <= self.version:
            return True
        match outline:
            case SnapshotOutline():
                # After an import, a whole state may have earlier documents.
                self._outlines.clear()
                self._given.clear()
            case ChangesOutline(since=since, changes=changes):
                if since > self.version or not changes:
                    return False
        if len(self._outlines) == MAX_OUTLINES:
            return False
        self._outlines.append(outline)
        return True

    def give(self, given: GiveDocument) -> None:
        """Record a document that was asked for."""
        digest = given.patches[-1].digest if given.patches else NO_BASE
        outline = DocumentOutline(given.number, digest, given.patches)
        former = self._given.get(given.name)
        if former is not None and former.number > given.number:
            return
        document = self._patch(given.name, outline)
        if document is not None:
            self._given[given.name] = document

    def take_complete(self) -> StateChanges | StateSnapshot | None:
        """Remove the first outline if its documents are here, and return it whole."""
        self._drop_installed()
        if not self._outlines:
            self._given.clear()
            self._distrusted.clear()
            return None
        first = self._outlines[0]
        documents: dict[DocumentName, Document] = {}
        for name, outline in first.documents.items():
            document = self._find(name, outline, self._accepts_later(first))
            if document is None and name not in self._distrusted:
                document = self._patch(name, outline)
            if document is None:
                return None
            self._given[name] = documents[name] = document
        self._outlines.popleft()
        return _complete(first, documents)

    def list_missing(self) -> dict[DocumentName, DocumentOutline]:
        """List the documents that the first outline lacks."""
        if not self._outlines:
            return {}
        first = self._outlines[0]
        later = self._accepts_later(first)
        return {
            name: outline
            for name, outline in first.documents.items()
            if self._find(name, outline, later) is None
        }

    def find_held_digest(self, name: DocumentName) -> bytes:
        """Return the digest that the patches of a document may start from."""
        held = self.replica.documents.get(name)
        if held is None or name in self._distrusted:
            return NO_BASE
        return self.patches.get_digest(name, held)

    def find_latest(self, name: DocumentName) -> Document | None:
        """Return the document with the highest number that is accepted and here."""
        found = [self.replica.documents.get(name), self.find_local(name)]
        documents = [document for document in found if document is not None]
        return max(documents, key=lambda item: item.number, default=None)

    def _drop_installed(self) -> None:
        installed = self.replica.version
        while self._outlines and self._outlines[0].version <= installed:
            self._outlines.popleft()

    @staticmethod
    def _accepts_later(outline: Outline) -> bool:
        return isinstance(outline, ChangesOutline)

    def _find(
        self, name: DocumentName, outline: DocumentOutline, accepts_later: bool
    ) -> Document | None:
        given = self._given.get(name)
        if given is not None and given.number > outline.number:
            return given
        for document in self._list_candidates(name):
            if accepts_later and document.number > outline.number:
                return document
            if document.number == outline.number and outline.digest == (
                self.patches.get_digest(name, document)
            ):
                return document
        return None

    def _list_candidates(self, name: DocumentName) -> list[Document]:
        found = [
            self._given.get(name),
            self.replica.documents.get(name),
            self.find_local(name),
        ]
        return [document for document in found if document is not None]

    def _patch(self, name: DocumentName, outline: DocumentOutline) -> Document | None:
        """Make a document by its patches, or return None if they start elsewhere."""
        bases = {
            self.patches.get_digest(name, document): document.data
            for document in self._list_candidates(name)
        }
        bases[NO_BASE] = b""
        for position, patch in enumerate(outline.patches):
            if patch.base in bases:
                chain = outline.patches[position:]
                data = self._apply(name, chain, bases[patch.base])
                return None if data is None else Document(outline.number, data)
        return None

    def _apply(
        self, name: DocumentName, chain: tuple[Patch, ...], data: bytes
    ) -> bytes | None:
        try:
            for patch in chain:
                data = apply_patch(patch, data)
        except PatchInvalid:
            self._distrusted.add(name)
            return None
        self.patches.record(chain)
        return data


def _complete(
    outline: Outline, documents: dict[DocumentName, Document]
) -> StateChanges | StateSnapshot:
    match outline:
        case SnapshotOutline():
            return StateSnapshot(
                outline.version,
                outline.sections,
                outline.keys,
                outline.shards,
                documents,
            )
        case ChangesOutline(changes=changes):
            # The versions between are not put in force singly.
            last = msgspec.structs.replace(changes[-1], documents=documents)
            return StateChanges(outline.since, outline.version, [*changes[:-1], last])
