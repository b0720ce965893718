"""Files in memory; a crash loses or truncates writes that were not synced."""

import errno
import random
from dataclasses import dataclass, field


class CrashPoint(Exception):
    """Stops the process in the middle of an operation on a file."""


@dataclass(frozen=True, slots=True)
class _Write:
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class _Truncate:
    size: int


@dataclass(frozen=True, slots=True)
class _Create:
    name: str
    file: "_File"


@dataclass(frozen=True, slots=True)
class _Rename:
    old: str
    new: str
    file: "_File"


@dataclass(frozen=True, slots=True)
class _Remove:
    name: str


@dataclass(slots=True)
class _File:
    content: bytearray = field(default_factory=bytearray)
    synced: bytes = b""
    pending: list[_Write | _Truncate] = field(default_factory=list)


def _apply_change(content: bytearray, change: _Write | _Truncate) -> None:
    match change:
        case _Write(offset=offset, data=data):
            content.extend(bytes(max(0, offset - len(content))))
            content[offset : offset + len(data)] = data
        case _Truncate(size=size):
            del content[size:]
            content.extend(bytes(size - len(content)))


def _apply_name_change(
    names: dict[str, _File], change: _Create | _Rename | _Remove
) -> None:
    match change:
        case _Create(name=name, file=file):
            names[name] = file
        case _Rename(old=old, new=new, file=file):
            names.pop(old, None)
            names[new] = file
        case _Remove(name=name):
            names.pop(name, None)


class FakeFiles:
    """A fake of a folder on a disk.

    The first operation whose number reaches `crash_at_operation` raises CrashPoint. A
    sync that does so has taken effect with a probability of 1/2. `space_left` is the
    space for writes in bytes, or None for no bound.
    """

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.operations = 0
        self.crash_at_operation: int | None = None
        self.space_left: int | None = None
        self._names: dict[str, _File] = {}
        self._synced_names: dict[str, _File] = {}
        self._name_changes: list[_Create | _Rename | _Remove] = []

    def _count_operation(self) -> bool:
        """Count an operation, and return whether the process crashes in it."""
        self.operations += 1
        return (
            self.crash_at_operation is not None
            and self.operations >= self.crash_at_operation
        )

    def _crash_if_due(self, due: bool) -> None:
        if due:
            self.crash_at_operation = None
            raise CrashPoint

    def _get_file(self, name: str) -> _File:
        if name not in self._names:
            self._change_name(_Create(name, _File()))
        return self._names[name]

    def _change_name(self, change: _Create | _Rename | _Remove) -> None:
        _apply_name_change(self._names, change)
        self._name_changes.append(change)

    def list_names(self) -> list[str]:
        """List the names of all files."""
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return bytes(self._names[name].content)

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Read a part of a file."""
        return bytes(self._names[name].content[offset : offset + size])

    def write(self, name: str, offset: int, data: bytes | bytearray) -> None:
        """Write at an offset; with too little space, write a part and raise OSError."""
        due = self._count_operation()
        file = self._get_file(name)
        exceeds_space = self.space_left is not None and len(data) > self.space_left
        if exceeds_space:
            data = data[: self.space_left]
        change = _Write(offset, bytes(data))
        _apply_change(file.content, change)
        file.pending.append(change)
        self._crash_if_due(due)
        if self.space_left is not None:
            self.space_left -= len(data)
        if exceeds_space:
            raise OSError(errno.ENOSPC, "no space left")

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        due = self._count_operation()
        file = self._get_file(name)
        change = _Truncate(size)
        _apply_change(file.content, change)
        file.pending.append(change)
        self._crash_if_due(due)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        due = self._count_operation()
        if due and self.generator.random() < 0.5:
            self._crash_if_due(due)
        file = self._names[name]
        file.synced = bytes(file.content)
        file.pending.clear()
        self._crash_if_due(due)

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        due = self._count_operation()
        self._change_name(_Rename(old, new, self._names[old]))
        self._crash_if_due(due)

    def remove(self, name: str) -> None:
        """Remove a file."""
        due = self._count_operation()
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        self._change_name(_Remove(name))
        self._crash_if_due(due)

    def sync_folder(self) -> None:
        """Make the names of the files durable."""
        due = self._count_operation()
        if due and self.generator.random() < 0.5:
            self._crash_if_due(due)
        self._synced_names = dict(self._names)
        self._name_changes.clear()
        self._crash_if_due(due)

    def close(self) -> None:
        """Do nothing: the files remain for the next start."""

    def crash(self) -> None:
        """Lose unsynced changes.

        Each change of a name is kept or lost independently. Of the changes of contents,
        each is applied, lost or, if it is a write, possibly cut short.
        """
        names = dict(self._synced_names)
        for change in self._name_changes:
            if self.generator.random() < 0.5:
                _apply_name_change(names, change)
        for file in names.values():
            self._recover_content(file)
        self._names = dict(names)
        self._synced_names = dict(names)
        self._name_changes.clear()
        self.crash_at_operation = None
        self.space_left = None

    def _recover_content(self, file: _File) -> None:
        content = bytearray(file.synced)
        for change in file.pending:
            draw = self.generator.random()
            if draw < 0.4:
                continue
            if draw < 0.7 and isinstance(change, _Write) and change.data:
                size = self.generator.randint(0, len(change.data))
                change = _Write(change.offset, change.data[:size])
            _apply_change(content, change)
        file.content = content
        file.synced = bytes(content)
        file.pending.clear()

    def delete_all(self) -> None:
        """Delete all files, as the loss of the disk does."""
        self._names = {}
        self._synced_names = {}
        self._name_changes.clear()

    def flip_bit(self, name: str, position: int, bit: int) -> None:
        """Flip one bit of a file, and make its whole content the synced content."""
        file = self._names[name]
        file.content[position] ^= 1 << bit
        file.synced = bytes(file.content)
