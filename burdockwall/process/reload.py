"""Reload a changed settings file while the process runs."""

from dataclasses import fields
from pathlib import Path

import logbook
import msgspec

from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.settings import Settings, read_settings

# Attributes that are read at each use; changes of others need a restart.
RELOADABLE = frozenset(
    {
        "drain_grace_s",
        "drain_hold_s",
        "drain_limit_s",
        "endpoint_attempts",
        "max_body_bytes",
        "resolve_ttl_s",
        "seeds",
    }
)


class ReloadResult(msgspec.Struct, frozen=True):
    """The attributes that were changed, and those whose change needs a restart."""

    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


def reload_and_log(settings: Settings, path: Path, logger: logbook.Logger) -> bool:
    """Reload a file and log the result; an invalid file changes nothing."""
    try:
        result = reload_settings(settings, path)
    except InvalidFile as error:
        logger.error("settings not reloaded", extra={"faults": error.detail})
        return False
    logger.notice(
        "settings reloaded",
        extra={
            "changed": " ".join(result.changed),
            "needs_restart": " ".join(result.needs_restart),
        },
    )
    return True


def reload_settings(settings: Settings, path: Path) -> ReloadResult:
    """Copy the reloadable attributes of a file into the settings in use.

    Raises InvalidFile and changes nothing if the file is invalid, or is that of another
    instance, as one that is cut off or empty looks like.
    """
    fresh = read_settings(path)
    if (fresh.instance_id, fresh.role) != (settings.instance_id, settings.role):
        raise InvalidFile(Code.SETTINGS_INVALID, [_describe_other(fresh, path)])
    names = [field.name for field in fields(Settings)]
    differing = [
        name for name in names if getattr(fresh, name) != getattr(settings, name)
    ]
    changed = tuple(name for name in differing if name in RELOADABLE)
    for name in changed:
        setattr(settings, name, getattr(fresh, name))
    needs_restart = tuple(name for name in differing if name not in RELOADABLE)
    return ReloadResult(changed, needs_restart)


def _describe_other(fresh: Settings, path: Path) -> Fault:
    return Fault(
        Code.SETTINGS_INVALID,
        str(path),
        f"[instance] id {fresh.instance_id} and role {fresh.role.value} are not those "
        "of this instance",
        "Write the whole file, or restart the process.",
    )
