"""Read the settings at the start of a process, also while they are being written."""

import time
from pathlib import Path

from burdockwall.errors import InvalidFile
from burdockwall.process.clock import read_clock
from burdockwall.settings import Settings, read_settings
from burdockwall.types import Role

# Others write the file, and may do so just now.
WRITE_LIMIT_S = 2.0
RETRY_S = 0.05


def wait_for_settings(path: Path) -> Settings:
    """Read a file that names one role, or raise InvalidFile if it stays invalid.

    A file without a role is returned in the end, for its reader to refuse.
    """
    give_up_at = read_clock() + WRITE_LIMIT_S
    while True:
        late = read_clock() >= give_up_at
        try:
            settings = read_settings(path)
        except InvalidFile:
            if late:
                raise
        else:
            if late or settings.role is not Role.BOTH:
                return settings
        time.sleep(RETRY_S)
