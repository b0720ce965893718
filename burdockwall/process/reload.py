"""Put a changed settings file in force while the process runs."""

from dataclasses import dataclass, fields
from pathlib import Path

import logbook

from burdockwall.errors import InvalidFile
from burdockwall.settings import Settings, read_settings

# Attributes that are read each time they are used; the others need a restart.
RELOADABLE = frozenset(
    {
        "drain_hold_s",
        "drain_limit_s",
        "endpoint_attempts",
        "max_body_bytes",
        "resolve_ttl_s",
        "seeds",
    }
)


@dataclass(frozen=True, slots=True)
class ReloadResult:
    """Name the attributes that changed, and those that wait for a restart."""

    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


def reload_and_log(settings: Settings, path: Path, logger: logbook.Logger) -> bool:
    """Read a file again and log what came of it; one with faults changes nothing."""
    try:
        done = reload_settings(settings, path)
    except InvalidFile as error:
        logger.error("settings not reloaded", extra={"faults": error.detail})
        return False
    logger.notice(
        "settings reloaded",
        extra={
            "changed": " ".join(done.changed),
            "needs_restart": " ".join(done.needs_restart),
        },
    )
    return True


def reload_settings(settings: Settings, path: Path) -> ReloadResult:
    """Read a file into settings in use; raise InvalidFile and change nothing."""
    fresh = read_settings(path)
    names = [field.name for field in fields(Settings)]
    differing = [
        name for name in names if getattr(fresh, name) != getattr(settings, name)
    ]
    changed = tuple(name for name in differing if name in RELOADABLE)
    for name in changed:
        setattr(settings, name, getattr(fresh, name))
    waiting = tuple(name for name in differing if name not in RELOADABLE)
    return ReloadResult(changed, waiting)
