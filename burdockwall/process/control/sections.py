"""Split a configuration text into sections, and compare texts by section."""

import difflib

from burdockwall.version.configuration import SECTION_TYPES

_ORDER = {name: position for position, name in enumerate(SECTION_TYPES)}


def split_sections(text: str) -> dict[str, str]:
    """Map section names to section texts; text before the first gets an empty name."""
    sections: dict[str, list[str]] = {}
    lines = sections.setdefault("", [])
    for line in text.splitlines(keepends=True):
        if line.startswith("[") and "]" in line:
            lines = sections.setdefault(line[1 : line.rindex("]")], [])
        lines.append(line)
    return {name: "".join(lines) for name, lines in sections.items() if lines}


def join_sections(sections: dict[str, str]) -> str:
    """Join sections in the order of a printed configuration."""
    return "".join(sections[name] for name in sorted(sections, key=_find_position))


def _find_position(section: str) -> tuple[int, str]:
    word, _, name = section.partition(" ")
    return _ORDER.get(word, -1), name


def compare_sections(old: dict[str, str], new: dict[str, str]) -> str:
    """Describe the difference between two configurations line by line."""
    lines: list[str] = []
    for name in sorted(old.keys() | new.keys(), key=_find_position):
        before, after = old.get(name, ""), new.get(name, "")
        if before == after:
            continue
        difference = difflib.unified_diff(
            before.splitlines(), after.splitlines(), lineterm="", n=0
        )
        lines.append(f"@@ [{name}]")
        lines.extend(line for line in list(difference)[2:] if not line.startswith("@@"))
    return "\n".join(lines)
