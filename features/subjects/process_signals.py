"""Real processes that get signals and other settings files."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from burdockwall.fakes.ports import find_address
from burdockwall.platform.names import SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parents[2]
START_LIMIT_S = 20.0
END_LIMIT_S = 15.0
# A process that a signal ends does so within this time.
SETTLE_S = 0.4
CODE_MARK = "burdockwall code begins"
# Notes when the code of the project begins: the interpreter has started then.
LAUNCH = (
    "import runpy, sys; "
    f"print('{CODE_MARK}', file=sys.stderr, flush=True); "
    "runpy.run_module('burdockwall.platform', run_name='__main__', alter_sys=True)"
)


class SignalledProcess:
    """The settings of one instance, and its process."""

    def __init__(self, role: str) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.settings = self.folder / "settings.ini"
        self.peer = find_address()
        self.process: subprocess.Popen | None = None
        self.lines: list[dict] = []
        self.exit_codes: list[int | None] = []
        self._write_settings(role)

    def _write_settings(self, role: str) -> None:
        listen = [f"peer = {self.peer}", f"operator = {find_address()}"]
        if role == "entry":
            listen.append(f"caller = {find_address()}")
        self.text = "\n".join(
            [
                "[instance]",
                f"id = {self.peer}",
                f"role = {role}",
                "failure_domain = a",
                "first_start = yes",
                *([] if role == "entry" else [f"data_folder = {self.folder / 'data'}"]),
                "[listen]",
                *listen,
                "[peers]",
                f"seeds = {self.peer}",
                "named_by_address = yes",
                "[platform]",
                f"address = {find_address()}",
                "[operators]",
                "open = yes",
                "[tls]",
                "peer_plaintext = yes",
                "[drain]",
                "hold = 0",
                "",
            ]
        )
        self.settings.write_text(self.text)

    def close(self) -> None:
        self.kill()
        self._folder.cleanup()

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    # Processes.

    def start(self) -> None:
        """Start the process, and wait until its own code begins."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.settings)}
        self.process = subprocess.Popen(
            [sys.executable, "-c", LAUNCH],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert self.process.stderr.readline().strip() == CODE_MARK
        threading.Thread(target=self._read_errors, daemon=True).start()
        self.lines = []
        self._reader = threading.Thread(target=self._read_log, daemon=True)
        self._reader.start()

    def _read_errors(self) -> None:
        for _ in self.process.stderr:
            pass

    def _read_log(self) -> None:
        try:
            for line in self.process.stdout:
                self.lines.append(msgspec.json.decode(line))
        except ValueError:
            return

    def find_line(self, message: str, count: int = 1) -> dict | None:
        found = [line for line in list(self.lines) if line["message"] == message]
        return found[count - 1] if len(found) >= count else None

    def wait_for_line(self, message: str, count: int = 1) -> dict:
        give_up_at = time.monotonic() + START_LIMIT_S
        while (line := self.find_line(message, count)) is None:
            assert time.monotonic() < give_up_at, (message, self.lines[-5:])
            assert self.process.poll() is None, (message, self.process.returncode)
            time.sleep(0.02)
        return line

    def start_and_wait(self) -> None:
        self.start()
        self.wait_for_line("started")

    def is_running(self) -> bool:
        return self.process.poll() is None

    def wait_for_end(self) -> int:
        code = self.process.wait(END_LIMIT_S)
        self._reader.join(END_LIMIT_S)
        return code

    # Signals.

    def signal_at_start(
        self, number: signal.Signals, delays_s: list[float], ends: bool
    ) -> None:
        for delay_s in delays_s:
            self.start()
            time.sleep(delay_s)
            self.process.send_signal(number)
            if ends:
                self.exit_codes.append(self.wait_for_end())
            else:
                time.sleep(SETTLE_S)
                self.exit_codes.append(self.process.poll())
            self.kill()

    def send_hangup(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    # Settings.

    def change_settings(self, change: str) -> None:
        data = self.settings.read_bytes()
        fresh = self.folder / "fresh.ini"
        match change:
            case "becomes bytes without text":
                fresh.write_bytes(b"\xff\xfe\x80" + data)
            case "is cut off in the middle":
                fresh.write_bytes(data[: data.index(b"role") + 2])
            case "becomes empty":
                fresh.write_bytes(b"")
            case "holds a value out of range":
                fresh.write_text(self.text.replace("hold = 0", "hold = -3"))
            case "becomes a folder":
                self.settings.unlink()
                self.settings.mkdir()
                return
            case "disappears":
                self.settings.unlink()
                return
        fresh.replace(self.settings)

    def restore_settings(self) -> None:
        if self.settings.is_dir():
            self.settings.rmdir()
        fresh = self.folder / "fresh.ini"
        fresh.write_text(self.text)
        fresh.replace(self.settings)

    def leave_log(self) -> None:
        """Close the reading end of the process's log."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.settings)}
        reading, writing = os.pipe()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "burdockwall.platform"],
            cwd=ROOT,
            env=environment,
            stdout=writing,
            stderr=subprocess.DEVNULL,
        )
        os.close(writing)
        os.read(reading, 1)
        time.sleep(SETTLE_S)
        os.close(reading)
        for _ in range(3):
            time.sleep(SETTLE_S)
            self.send_hangup()

    # Files and addresses.

    def cut_journal(self, size: int) -> None:
        for path in sorted((self.folder / "data").glob("journal-*")):
            os.truncate(path, size)

    def take_address(self) -> socket.socket:
        host, _, port = self.peer.rpartition(":")
        return socket.create_server((host, int(port)))

    def list_ending_codes(self) -> list[int]:
        return [
            line["fields"].get("code")
            for line in self.lines
            if line["message"] == "process ends by itself"
        ]
