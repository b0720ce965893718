"""Writer of the reference pages that the code defines: result codes and settings."""

import sys
from pathlib import Path

from burdockwall.errors import Code
from burdockwall.options import OPTIONS, Option
from burdockwall.settings import Settings

ROOT = Path(__file__).resolve().parent.parent
ERRORS_PAGE = ROOT / "docs" / "ERRORS.md"
SETTINGS_PAGE = ROOT / "docs" / "SETTINGS.md"
ERRORS_HEAD = """\
# Result codes

Every refusal has a code, in its body (`error.code`) and in the header
`Burdockwall-Code`. `Burdockwall-Ran` says whether the request has run at an endpoint:
`not run` is given only if the request cannot have run. `Retry-After` gives the time
after which to retry. On the command line each error starts with its code, and the exit
code is 1 for a refusal or a failure and 2 for a wrong command line.

| code | name | HTTP | ran | retry | meaning |
|---|---|---|---|---|---|
"""
SETTINGS_HEAD = """\
# Settings

Settings are read from an INI file (`--settings FILE`). An option that is not listed
here is an error, and `burdockwall check` shows every fault of a file in one pass.

| option | type | unit | range | default | meaning |
|---|---|---|---|---|---|
"""


def format_errors_page() -> str:
    """Format the page of result codes in the order of their numbers."""
    rows = []
    for code in sorted(Code, key=lambda item: item.value.number):
        code_row = code.value
        cells = [str(code_row.number), f"`{code.name.lower()}`", str(code_row.status)]
        cells += [code_row.ran.value, code_row.retry.value, code_row.meaning]
        rows.append(f"| {' | '.join(cells)} |\n")
    return ERRORS_HEAD + "".join(rows)


def _format_range(option: Option) -> str:
    if option.choices:
        return ", ".join(f"`{choice}`" for choice in option.choices)
    if option.low is None or option.high is None:
        return ""
    return f"{option.low:g} to {option.high:g}"


def _format_default(option: Option, settings: Settings) -> str:
    value = getattr(settings, option.attribute)
    match value:
        case None | [] | {} | "":
            return "none"
        case bool():
            return "yes" if value else "no"
        case _:
            return f"`{getattr(value, 'value', value)}`"


def format_settings_page() -> str:
    """Format the page of settings in alphabetical order."""
    settings = Settings()
    rows = []
    for option in sorted(OPTIONS, key=lambda item: (item.section, item.name)):
        cells = [f"`[{option.section}] {option.name}`", option.kind.value]
        cells += [option.unit, _format_range(option)]
        cells += [_format_default(option, settings), option.help]
        rows.append(f"| {' | '.join(cells)} |\n")
    return SETTINGS_HEAD + "".join(rows)


def find_stale_pages() -> list[Path]:
    """List the pages that differ from what the code defines."""
    pages = {ERRORS_PAGE: format_errors_page(), SETTINGS_PAGE: format_settings_page()}
    return [
        path
        for path, text in pages.items()
        if not path.exists() or path.read_text("utf-8") != text
    ]


def main() -> None:
    """Write the pages."""
    ERRORS_PAGE.write_text(format_errors_page(), "utf-8")
    SETTINGS_PAGE.write_text(format_settings_page(), "utf-8")


if __name__ == "__main__":
    sys.exit(main())
