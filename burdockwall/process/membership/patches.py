"""Encode a document as its difference from an earlier one, compressed."""

import hashlib
import zlib

import msgspec
import zstandard

DIGEST_BYTES = 16
# Larger than any batch that a peer reads.
MAX_DOCUMENT_BYTES = 33_554_432
# The encoder finds the place of a difference only if its table covers the base.
MAX_TABLE_BITS = 20
MIN_TABLE_BITS = 10
LEVEL = 1
NO_BASE = b""


class PatchInvalid(Exception):
    """A patch does not yield the document that it names."""


class Patch(msgspec.Struct, frozen=True, array_like=True):
    """What yields a document of `size` bytes from the one with the digest `base`.

    Without a base, the patch has the whole document.
    """

    base: bytes
    digest: bytes
    size: int
    data: bytes


def compute_digest(data: bytes) -> bytes:
    """Compute the digest by which patches name a document."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def create_patch(base: bytes, data: bytes) -> Patch:
    """Create the patch from one document to another; an empty base is none."""
    bits = max(MIN_TABLE_BITS, (len(base) + len(data)).bit_length())
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        window_log=bits,
        hash_log=min(bits, MAX_TABLE_BITS),
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_wrap_base(base), compression_params=parameters
    )
    return Patch(
        compute_digest(base) if base else NO_BASE,
        compute_digest(data),
        len(data),
        # The blocks of a large document that has hardly changed are nearly equal.
        zlib.compress(compressor.compress(data)),
    )


def apply_patch(patch: Patch, base: bytes) -> bytes:
    """Return the document of a patch; raise PatchInvalid if it is another."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_wrap_base(base), max_window_size=2 * MAX_DOCUMENT_BYTES
    )
    try:
        frame = zlib.decompressobj().decompress(patch.data, 2 * MAX_DOCUMENT_BYTES)
        size = zstandard.frame_content_size(frame)
        if size != patch.size or size > MAX_DOCUMENT_BYTES:
            raise PatchInvalid(f"a document of {size} bytes, not {patch.size}")
        data = decompressor.decompress(frame)
    except (zlib.error, zstandard.ZstdError) as error:
        raise PatchInvalid(str(error)) from error
    if compute_digest(data) != patch.digest:
        raise PatchInvalid("another document than the one named")
    return data


def _wrap_base(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
