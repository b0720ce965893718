"""Bound what a replica keeps, in bytes; a single larger item is always kept.

Together they keep a process under half of the least memory and disk that a control
instance is given: 296 MB and 128 MB.
"""

LARGEST_DOCUMENT_BYTES = 4_194_304
# Bytes that the journal takes until the next snapshot.
COMPACT_BYTES = 3 * LARGEST_DOCUMENT_BYTES
# Bytes up to a snapshot that stay in the log, for replicas that are slightly behind:
# the two largest documents, with their commands.
RETAINED_BYTES = 2 * LARGEST_DOCUMENT_BYTES + 262_144
# Bytes that stay in the log while a snapshot is sent, so that its receiver then needs
# entries and not another snapshot.
HELD_BYTES = 5 * LARGEST_DOCUMENT_BYTES
HELD_ENTRIES = 3000
# Bytes of proposals that may wait for a majority.
UNCOMMITTED_BYTES = 2 * LARGEST_DOCUMENT_BYTES
