"""Access files in the data folder; data that is not synced may be lost."""

import fcntl
import os
from pathlib import Path
from typing import Protocol

from burdockwall.errors import BurdockwallError, Code

LOCK_NAME = "lock"


class StorageError(BurdockwallError):
    """Files are missing, damaged, or used by another instance or process."""


class Files(Protocol):
    """The file operations that storage needs; they raise OSError on failure."""

    def list_names(self) -> list[str]:
        """List the names of all files."""
        ...

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        ...

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Read a part of a file; it may be asked for beside a write."""
        ...

    def write(self, name: str, offset: int, data: bytes | bytearray) -> None:
        """Write at an offset; create the file if it is missing."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        ...

    def sync(self, name: str) -> None:
        """Sync the content of a file to disk."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file."""
        ...

    def sync_folder(self) -> None:
        """Sync the folder, so that created, renamed and removed files persist."""
        ...

    def close(self) -> None:
        """Close all open files and release the lock."""
        ...


class DiskFiles:
    """Files in one folder, which a lock file keeps from use by other processes."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self._open: dict[str, int] = {}
        self._lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            detail = f"{folder} is used by another process"
            raise StorageError(Code.IDENTITY_OTHER, detail) from error

    def _get_descriptor(self, name: str) -> int:
        if name not in self._open:
            flags = os.O_RDWR | os.O_CREAT
            self._open[name] = os.open(self.folder / name, flags, 0o600)
        return self._open[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def list_names(self) -> list[str]:
        """List the names of all files."""
        return sorted(name for name in os.listdir(self.folder) if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return (self.folder / name).read_bytes()

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Read a part of a file; it may be asked for beside a write."""
        # The open files belong to the thread that writes.
        descriptor = os.open(self.folder / name, os.O_RDONLY)
        try:
            return os.pread(descriptor, size, offset)
        finally:
            os.close(descriptor)

    def write(self, name: str, offset: int, data: bytes | bytearray) -> None:
        """Write at an offset; create the file if it is missing."""
        descriptor = self._get_descriptor(name)
        if os.pwrite(descriptor, data, offset) != len(data):
            raise OSError(f"short write to {name}")

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        os.ftruncate(self._get_descriptor(name), size)

    def sync(self, name: str) -> None:
        """Sync the content of a file to disk."""
        os.fsync(self._get_descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""
        self._close_file(old)
        self._close_file(new)
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Sync the folder, so that created, renamed and removed files persist."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all open files and release the lock."""
        for name in list(self._open):
            self._close_file(name)
        os.close(self._lock)
