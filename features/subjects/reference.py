"""Comparison of the documentation with the code."""

import dataclasses
import tempfile
from pathlib import Path

import click

from burdockwall.cmdline import cli
from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.options import OPTIONS
from burdockwall.process.reload import ReloadResult, reload_settings
from burdockwall.settings import Settings, parse_settings

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
    """Reads the code's tables of codes, options and commands, and tests settings."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.settings = Settings()
        self.after_fault = Settings()
        self.reload = ReloadResult((), ())

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

    def reload_twice(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.ini"
            path.write_text("[callers]\nmax_body = 5000\nresolve_ttl = -4\n")
            try:
                reload_settings(self.settings, path)
            except InvalidFile as error:
                self.faults = error.faults
            self.after_fault = dataclasses.replace(self.settings)
            path.write_text("[callers]\nmax_body = 5000\n[listen]\ncaller = a:1\n")
            self.reload = reload_settings(self.settings, path)

    def check_faulty(self) -> None:
        try:
            parse_settings(FAULTY, "faulty.ini")
        except InvalidFile as error:
            self.faults = error.faults


assert isinstance(cli, click.Group)
