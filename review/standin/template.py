"""Fill in a settings template as DEPLOY.md describes it."""

import json
import re
from typing import Any

_TAG = re.compile(r"\{\{([#^/]?)\s*([^}]*?)\s*\}\}")


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Return the template with its placeholders and sections filled in."""
    text, _ = _fill(template, 0, [fields], None)
    return text


def _fill(
    text: str, position: int, scopes: list[Any], until: str | None
) -> tuple[str, int]:
    parts = []
    while (tag := _TAG.search(text, position)) is not None:
        parts.append(text[position : tag.start()])
        position = tag.end()
        sign, name = tag.groups()
        if sign == "/":
            assert name == until, f"section {until} ends with {name}"
            return "".join(parts), position
        if sign:
            filled, position = _fill_section(text, position, scopes, sign, name)
            parts.append(filled)
        else:
            parts.append(_show(_find(scopes, name)))
    parts.append(text[position:])
    return "".join(parts), len(text)


def _fill_section(
    text: str, position: int, scopes: list[Any], sign: str, name: str
) -> tuple[str, int]:
    value = _find(scopes, name)
    absent = value is None or value is False
    entries: list[Any] = []
    if sign == "^":
        entries = [{}] if absent else []
    elif isinstance(value, dict):
        entries = [{"@": key, ".": item} for key, item in value.items()]
    elif isinstance(value, list):
        entries = [{"@": index, ".": item} for index, item in enumerate(value)]
    elif not absent:
        entries = [{".": value}]
    parts = []
    end = position
    for entry in entries or [{}]:
        filled, end = _fill(text, position, [*scopes, entry], name)
        parts.append(filled if entries else "")
    return "".join(parts), end


def _find(scopes: list[Any], name: str) -> Any:
    for scope in reversed(scopes):
        if name in (".", "@"):
            if name in scope:
                return scope[name]
            continue
        found = scope
        for part in name.split("."):
            if isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            elif isinstance(found, dict) and part in found:
                found = found[part]
            else:
                found = None
                break
        if found is not None:
            return found
    return None


def _show(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_show(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)
