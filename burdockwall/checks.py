"""Checks of settings and configuration files in one pass."""

from pathlib import Path

from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.settings import read_settings
from burdockwall.version.configuration import parse_configuration


def check_files(settings: Path | None, configuration: Path | None) -> list[Fault]:
    """List every fault in the files; None stands for a file that is not checked."""
    faults = []
    if settings is not None:
        faults.extend(_check_settings(settings))
    if configuration is not None:
        faults.extend(_check_configuration(configuration))
    return faults


def _check_settings(path: Path) -> list[Fault]:
    try:
        read_settings(path)
    except InvalidFile as error:
        return error.faults
    return []


def _check_configuration(path: Path) -> list[Fault]:
    try:
        parse_configuration(path.read_text("utf-8"), str(path))
    except InvalidFile as error:
        return error.faults
    except (OSError, UnicodeDecodeError) as error:
        remedy = "Name a readable file."
        return [Fault(Code.CONFIGURATION_INVALID, str(path), str(error), remedy)]
    return []
