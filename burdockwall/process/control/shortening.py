"""Replace a submitted configuration by its difference, to keep log entries small."""

import hashlib

from burdockwall.errors import OperatorError
from burdockwall.process.control.commands import (
    AnyCommand,
    ChangeSections,
    SubmitConfiguration,
)
from burdockwall.process.control.configurations import (
    Configurations,
    find_difference,
)
from burdockwall.process.control.sections import split_sections
from burdockwall.types import Version

FIRST_VERSION = Version(0)


def create_change(
    command: SubmitConfiguration,
    difference_base: Version = FIRST_VERSION,
    changed: dict[str, str] | None = None,
    removed: tuple[str, ...] = (),
) -> ChangeSections:
    """Create the command that replaces a submission in the log."""
    return ChangeSections(
        operator=command.operator,
        submission=command.submission,
        based_on=command.based_on,
        text_digest=hashlib.sha256(command.text.encode()).digest(),
        difference_base=difference_base,
        changed=changed or {},
        removed=removed,
    )


def strip_change(command: AnyCommand) -> AnyCommand:
    """Reduce both forms of a submission to the same fields, which identify it."""
    match command:
        case SubmitConfiguration():
            return create_change(command)
        case ChangeSections():
            return ChangeSections(
                operator=command.operator,
                submission=command.submission,
                based_on=command.based_on,
                text_digest=command.text_digest,
                difference_base=FIRST_VERSION,
                changed={},
                removed=(),
            )
        case _:
            return command


def shorten_submission(
    command: SubmitConfiguration, current: Configurations, latest: Version
) -> AnyCommand:
    """Return the difference of a submission, or the submission if it has faults.

    The difference is empty if the submission will be refused for its base.
    """
    try:
        current.check_base(command.based_on, latest)
    except OperatorError:
        return create_change(command, current.version)
    sections = split_sections(command.text)
    try:
        current.checker.check(sections)
    except OperatorError:
        return command
    difference = find_difference(current.sections, sections)
    return create_change(
        command, current.version, difference.changed, difference.removed
    )
