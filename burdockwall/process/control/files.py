"""Write files under the data folder; what is not synced may be lost."""

import fcntl
import os
from pathlib import Path
from typing import Protocol

from burdockwall.errors import BurdockwallError, Code

LOCK_NAME = "lock"


class StorageError(BurdockwallError):
    """Report that files under the data folder are missing, damaged or full."""


class Files(Protocol):
    """Do the few operations on files that storage needs; OSError on failure."""

    def list_names(self) -> list[str]:
        """List the names of all files."""
        ...

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        ...

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write at an offset; create the file if it is missing."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        ...

    def sync(self, name: str) -> None:
        """Make the content of a file last."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of any file of that name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file."""
        ...

    def sync_folder(self) -> None:
        """Make the names of the files last."""
        ...

    def close(self) -> None:
        """Release what is held open."""
        ...


class DiskFiles:
    """Keep files in one folder that no other process uses."""

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

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write at an offset; create the file if it is missing."""
        descriptor = self._get_descriptor(name)
        if os.pwrite(descriptor, data, offset) != len(data):
            raise OSError(f"short write to {name}")

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        os.ftruncate(self._get_descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file last."""
        os.fsync(self._get_descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of any file of that name."""
        self._close_file(old)
        self._close_file(new)
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Make the names of the files last."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Release what is held open."""
        for name in list(self._open):
            self._close_file(name)
        os.close(self._lock)
