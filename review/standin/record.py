"""The record of a run: what was sent, answered and run, one line each."""

import time
from pathlib import Path


class Record:
    """Collects lines with the seconds since the start of the run."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.began_at

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():9.3f}  {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n", "utf-8")
