"""Remember the patches between the latest documents, and describe documents by them."""

from collections.abc import Iterable
from typing import NamedTuple

from burdockwall.process.control.changes import Document
from burdockwall.process.membership.messages import DocumentOutline
from burdockwall.process.membership.patches import (
    NO_BASE,
    Patch,
    compute_digest,
    create_patch,
)
from burdockwall.types import DocumentName

MAX_PATCHES = 256
MAX_PATCHES_BYTES = 2_097_152
# A document of up to this size is sent whole to those whose version isn't known.
SMALL_DOCUMENT_BYTES = 65_536


class _Latest(NamedTuple):
    document: Document
    digest: bytes


class DocumentPatches:
    """The latest patches, by the digest of the document that they yield.

    With `creates`, each document that is later than the last one gets a patch from
    that; otherwise only patches that were received are known.
    """

    def __init__(self, creates: bool = True) -> None:
        self.creates = creates
        self._patches: dict[bytes, Patch] = {}
        self._bytes = 0
        self._latest: dict[DocumentName, _Latest] = {}
        self._whole: dict[bytes, Patch] = {}

    def get_digest(self, name: DocumentName, document: Document) -> bytes:
        """Return the digest of a document, which is computed once for the latest."""
        latest = self._latest.get(name)
        if latest is not None and latest.document is document:
            return latest.digest
        return compute_digest(document.data)

    def observe(self, name: DocumentName, document: Document) -> bytes:
        """Record a document and return its digest."""
        latest = self._latest.get(name)
        if latest is not None and document.number <= latest.document.number:
            return self.get_digest(name, document)
        digest = compute_digest(document.data)
        self._latest[name] = _Latest(document, digest)
        if latest is not None and self._needs_patch(latest.digest, digest):
            self.record([create_patch(latest.document.data, document.data)])
        return digest

    def _needs_patch(self, base: bytes, digest: bytes) -> bool:
        return self.creates and digest != base and digest not in self._patches

    def record(self, patches: Iterable[Patch]) -> None:
        """Store patches, and drop the oldest ones beyond the bounds."""
        for patch in patches:
            if patch.digest in self._patches or patch.base == patch.digest:
                continue
            self._patches[patch.digest] = patch
            self._bytes += len(patch.data)
        while len(self._patches) > MAX_PATCHES or self._bytes > MAX_PATCHES_BYTES:
            oldest = self._patches.pop(next(iter(self._patches)))
            self._bytes -= len(oldest.data)

    def list_last(self, digest: bytes, count: int, max_bytes: int) -> tuple[Patch, ...]:
        """List up to `count` patches that yield a document, within a size."""
        chain: list[Patch] = []
        size = 0
        while len(chain) < count:
            patch = self._patches.get(digest)
            if patch is None or size + len(patch.data) > max_bytes:
                break
            chain.append(patch)
            size += len(patch.data)
            digest = patch.base
        return tuple(reversed(chain))

    def find_chain(self, base: bytes, digest: bytes) -> tuple[Patch, ...] | None:
        """Return the patches from one document to another, or None if unknown."""
        chain: list[Patch] = []
        while digest != base:
            patch = self._patches.get(digest)
            if patch is None or len(chain) == MAX_PATCHES:
                return None
            chain.append(patch)
            digest = patch.base
        return tuple(reversed(chain))

    def create_whole(self, digest: bytes, document: Document) -> Patch:
        """Return the patch that yields a document from nothing."""
        whole = self._whole.get(digest)
        if whole is None:
            whole = create_patch(NO_BASE, document.data)
            # The documents other than the configuration are small.
            if len(self._whole) > len(self._latest):
                self._whole.clear()
            self._whole[digest] = whole
        return whole

    def outline(
        self, name: DocumentName, document: Document, changes: int, max_bytes: int
    ) -> DocumentOutline:
        """Describe a document for those that may be `changes` changes behind."""
        digest = self.observe(name, document)
        patches = self.list_last(digest, changes, max_bytes)
        if not patches and len(document.data) <= SMALL_DOCUMENT_BYTES:
            whole = self.create_whole(digest, document)
            patches = (whole,) if len(whole.data) <= max_bytes else ()
        return DocumentOutline(document.number, digest, patches)
