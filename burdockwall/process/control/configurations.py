"""Store the configuration in force, by sections, and earlier ones."""

import zlib
from collections import deque
from collections.abc import Iterable

import msgspec

from burdockwall.errors import Code, InvalidFile, OperatorError
from burdockwall.process.control.image import StoredConfiguration
from burdockwall.process.control.sections import (
    compare_sections,
    join_sections,
    split_sections,
)
from burdockwall.types import OperatorId, Version
from burdockwall.version.configuration import (
    Item,
    check_configuration,
    join_items,
    parse_configuration,
    parse_items,
)

MAX_CONFIGURATIONS = 16
# Compressed; the configuration in force is kept whatever its size.
MAX_HISTORY_BYTES = 4_194_304


class Difference(msgspec.Struct, frozen=True):
    """New or changed sections, the names of removed ones, and a printed form."""

    changed: dict[str, str]
    removed: tuple[str, ...]
    description: str


def check_sections(sections: dict[str, str]) -> None:
    """Raise OperatorError with all faults of a configuration."""
    try:
        parse_configuration(join_sections(sections))
    except InvalidFile as error:
        raise OperatorError(Code.CONFIGURATION_INVALID, error.detail) from error


def find_difference(old: dict[str, str], new: dict[str, str]) -> Difference:
    """Compare two configurations section by section."""
    changed = {name: text for name, text in new.items() if old.get(name) != text}
    removed = tuple(sorted(old.keys() - new.keys()))
    before = {name: old[name] for name in (*changed, *removed) if name in old}
    return Difference(changed, removed, compare_sections(before, changed))


class SectionChecker:
    """Checks configurations, parsing only sections that differ from the last one."""

    def __init__(self) -> None:
        self._texts: dict[str, str] = {}
        self._items: dict[str, Item] = {}

    def check(self, sections: dict[str, str]) -> None:
        """Raise OperatorError with all faults of a configuration."""
        # Only a named section means the same in any text, so a text with other
        # sections is checked as a whole.
        if not all(" " in name for name in sections):
            check_sections(sections)
            return
        changed = {
            name: text
            for name, text in sections.items()
            if self._texts.get(name) != text
        }
        try:
            parsed = parse_items(join_sections(changed))
            items = {
                name: parsed[name] if name in changed else self._items[name]
                for name in sections
            }
            check_configuration(join_items(items))
        except (InvalidFile, KeyError):
            # Check the whole text, so that all its faults are reported together.
            check_sections(sections)
            return
        self._texts, self._items = dict(sections), items


class Configurations:
    """The configuration in force and the latest earlier ones."""

    def __init__(self) -> None:
        self.version = Version(0)
        self.operator = OperatorId("")
        self.sections: dict[str, str] = {}
        self.checker = SectionChecker()
        self.history: deque[StoredConfiguration] = deque(maxlen=MAX_CONFIGURATIONS)

    @property
    def text(self) -> str:
        """Return the text in force."""
        return join_sections(self.sections)

    def check_base(self, based_on: Version, latest: Version) -> None:
        """Raise OperatorError if the base of a change is outdated or unknown.

        The base is outdated if the configuration has been replaced since; versions
        that changed only keys or operators do not matter.
        """
        if self.version <= based_on <= latest:
            return
        if based_on > latest:
            detail = f"based on {based_on}, but the latest version is {latest}"
        else:
            detail = f"based on {based_on}, but version {self.version} "
            detail += f"by {self.operator} won"
        raise OperatorError(Code.VERSION_CONFLICT, detail)

    def replace(self, sections: dict[str, str]) -> Difference:
        """Put sections in force; the caller then calls add_to_history()."""
        difference = find_difference(self.sections, sections)
        self.sections = sections
        return difference

    def add_to_history(self, version: Version, operator: OperatorId) -> None:
        """Add the configuration in force to the history under its version."""
        self.version = version
        self.operator = operator
        compressed = zlib.compress(self.text.encode())
        self.history.append(StoredConfiguration(version, compressed))
        size = sum(len(stored.text) for stored in self.history)
        while size > MAX_HISTORY_BYTES and len(self.history) > 1:
            size -= len(self.history.popleft().text)

    def find(self, version: Version, latest: Version) -> dict[str, str]:
        """Return the sections in force at a version; raise OperatorError if unknown."""
        for stored in reversed(self.history):
            if stored.version <= version <= latest:
                return split_sections(zlib.decompress(stored.text).decode())
        versions = ", ".join(str(stored.version) for stored in self.history) or "none"
        detail = f"version {version} is not kept; kept: {versions}"
        raise OperatorError(Code.VERSION_UNKNOWN, detail)

    def restore(
        self,
        version: Version,
        operator: OperatorId,
        sections: dict[str, str],
        history: Iterable[StoredConfiguration],
    ) -> None:
        """Replace the configuration and its history by those of an image."""
        self.version, self.operator = version, operator
        self.sections = dict(sections)
        self.history = deque(history, maxlen=MAX_CONFIGURATIONS)
