"""The shipped file, run as a separate process."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

from burdockwall.fakes.ports import find_address

ROOT = Path(__file__).resolve().parents[2]
BINARY = ROOT / "dist" / "burdockwall"
START_LIMIT_S = 20.0
END_LIMIT_S = 20.0


class BinarySubject:
    """Builds the file if it is stale, starts it and inspects it through /proc."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.process: subprocess.Popen | None = None
        self.operator = find_address()
        self.exit_code: int | None = None

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self._folder.cleanup()

    def build(self) -> None:
        if not BINARY.exists() or self._is_stale():
            command = [sys.executable, "-m", "tools.binary"]
            subprocess.run(command, cwd=ROOT, check=True, capture_output=True)

    def _is_stale(self) -> bool:
        built = BINARY.stat().st_mtime
        sources = (ROOT / "burdockwall").rglob("*.py")
        return any(path.stat().st_mtime > built for path in sources)

    def serve(self) -> None:
        settings = self.folder / "settings.ini"
        settings.write_text(
            f"[listen]\ncaller = {find_address()}\noperator = {self.operator}\n"
            f"peer = {find_address()}\n[drain]\nhold = 0\n"
        )
        read_only = self.folder / "read-only"
        read_only.mkdir(mode=0o500)
        environment = {"PATH": os.environ["PATH"], "HOME": str(read_only)}
        environment |= {"TMPDIR": str(read_only)}
        command = [str(BINARY), "serve", "--settings", str(settings)]
        self.process = subprocess.Popen(
            command, cwd=read_only, env=environment, stderr=subprocess.DEVNULL
        )

    def read_status(self) -> bytes:
        deadline = time.monotonic() + START_LIMIT_S
        while True:
            try:
                url = f"http://{self.operator}/status"
                with urllib.request.urlopen(url, timeout=2) as response:
                    return response.read()
            except (urllib.error.URLError, ConnectionError):
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.1)

    def list_children(self) -> list[str]:
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        return [child for task in tasks for child in self._read_children(task)]

    def _read_children(self, task: Path) -> list[str]:
        return (task / "children").read_text().split()

    def count_threads(self) -> int:
        return len(list(Path(f"/proc/{self.process.pid}/task").iterdir()))

    def list_written_files(self) -> list[str]:
        created = [str(path) for path in (self.folder / "read-only").rglob("*")]
        return created + [
            os.readlink(path)
            for path in Path(f"/proc/{self.process.pid}/fd").iterdir()
            if self._is_foreign(path)
        ]

    def _is_foreign(self, descriptor: Path) -> bool:
        # The program itself consists of read-only files of the interpreter, the archive
        # and anonymous files with extension modules.
        target = os.readlink(descriptor)
        if not target.startswith("/") or target == os.devnull:
            return False
        if target.startswith("/memfd:"):
            return False
        details = descriptor.parents[1] / "fdinfo" / descriptor.name
        flags = details.read_text().split("flags:")[1].split()[0]
        writable = int(flags, 8) & os.O_ACCMODE != os.O_RDONLY
        return writable or not _is_program(target)

    def list_shared_mappings(self) -> list[str]:
        lines = Path(f"/proc/{self.process.pid}/maps").read_text().splitlines()
        return [line for line in lines if _is_shared_memory(line)]

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.exit_code = self.process.wait(END_LIMIT_S)

    def run(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [str(BINARY), *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)


def _is_program(path: str) -> bool:
    # The archive loads its extension modules from anonymous files.
    places = (sys.base_prefix, sys.prefix, "/usr/", "/lib", "/memfd:", str(BINARY))
    return path.startswith(places)


def _is_shared_memory(line: str) -> bool:
    # The C library maps its tables read-only and shared. Memory shared with another
    # process is writable, or does not belong to a file of the program.
    _, permissions, _, _, _, *path = line.split(maxsplit=5)
    name = path[0] if path else ""
    foreign = name.startswith("/") and not _is_program(name)
    shared = permissions.endswith("s")
    return foreign or shared and ("w" in permissions or name.startswith("/memfd:"))
