"""Compare the documentation with what the code defines."""

import dataclasses
from pathlib import Path

import click

from burdockwall.cmdline import cli
from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.settings import OPTIONS, Settings, parse_settings

COMMANDS = Path(__file__).resolve().parents[2] / "docs" / "commands"
FAULTY = """\
[instance]
role = king
colour = red
[listen]
caller = nowhere
[drain]
hold = -1
[callers]
max_body = much
"""


class ReferenceSubject:
    """Read the code's own tables."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def list_numbers(self) -> list[int]:
        return [code.value.number for code in Code]

    def list_option_attributes(self) -> list[str]:
        return sorted(option.attribute for option in OPTIONS)

    def list_settings_attributes(self) -> list[str]:
        return sorted(field.name for field in dataclasses.fields(Settings))

    def list_missing_pages(self) -> list[str]:
        return [
            name
            for name in sorted(cli.commands)
            if not (COMMANDS / f"{name}.md").exists()
        ]

    def check_faulty(self) -> None:
        try:
            parse_settings(FAULTY, "faulty.ini")
        except InvalidFile as error:
            self.faults = error.faults


assert isinstance(cli, click.Group)
