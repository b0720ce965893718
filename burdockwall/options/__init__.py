"""All options of the settings file, each with its attribute of Settings."""

from burdockwall.options.callers import CALLERS_OPTIONS
from burdockwall.options.limits import LIMITS_OPTIONS
from burdockwall.options.option import Kind, Option, convert_option
from burdockwall.options.process import PROCESS_OPTIONS
from burdockwall.options.programs import PROGRAMS_OPTIONS
from burdockwall.options.scheduling import SCHEDULING_OPTIONS

__all__ = ["OPTIONS", "Kind", "Option", "convert_option", "find_option"]

OPTIONS: tuple[Option, ...] = (
    *PROCESS_OPTIONS,
    *CALLERS_OPTIONS,
    *LIMITS_OPTIONS,
    *PROGRAMS_OPTIONS,
    *SCHEDULING_OPTIONS,
)


def find_option(section: str, name: str) -> Option | None:
    """Return the option of a section by its name, or None."""
    for option in OPTIONS:
        if option.section == section and option.name == name:
            return option
    return None
