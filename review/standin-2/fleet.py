"""Start the deploy file's processes on loopback addresses, and end them again.

The settings files are filled in from deploy/settings.ini as the platform's pages say.
"""

import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
TEMPLATE = REPOSITORY / "deploy" / "settings.ini"
DEPLOY_FILE = REPOSITORY / "deploy" / "system.toml"
ROLE_PORTS = {"front": 8368, "ready": 8369, "control": 8367, "directory": 8366}
FIRST_PEER_PORT = 7780
LIST_PORT = 8362
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region"
# The figures of the sheet of armorique-caves.
MEMORY_MB = {"entry": 300, "control": 296, "storage": 320}
BOUNDS = {
    "config-apply-ms": 2000,
    "grace-s": 8,
    "quota-window-s": 5,
    "quota-overrun": 0.1,
    "quota-slack": 20,
}

SECTION = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([^}]+)\}\}")


def _find(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(text, fields):
    """Fill in a template with the placeholders and sections of the deploy page."""

    def fill_section(match):
        mark, name, inner = match.groups()
        value = _find(fields, name)
        if mark == "^":
            return "" if value not in (None, False, [], {}) else render(inner, fields)
        if value in (None, False):
            return ""
        if isinstance(value, dict):
            items = list(value.items())
        elif isinstance(value, list):
            items = list(enumerate(value))
        else:
            return render(inner, fields)
        parts = []
        for key, item in items:
            part = inner.replace("{{@}}", str(key)).replace("{{.}}", str(item))
            parts.append(render(part, fields))
        return "".join(parts)

    def fill_value(match):
        value = _find(fields, match.group(1))
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return PLACEHOLDER.sub(fill_value, SECTION.sub(fill_section, text))


class Process:
    """One process of the deploy file, on a loopback address of its own."""

    def __init__(self, fleet, role, number, ip, zone):
        self.fleet = fleet
        self.role = role
        self.name = f"{role}-{number}"
        self.ip = ip
        self.zone = zone
        self.popen = None
        self.folder = fleet.folder / self.name
        self.data = self.folder / "data"
        self.folder.mkdir()

    def write_settings(self, bootstrap):
        """Fill in the settings file."""
        serves = {
            "entry": ("front", "ready"),
            "control": ("control", "directory"),
            "storage": (),
        }[self.role]
        fields = {
            "node": self.name,
            "role": self.role,
            "ip": self.ip,
            "zone": self.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "port-range": [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
            "seeds": self.fleet.seeds,
            "bootstrap": bootstrap,
            "fault-tolerance": {"machines": 1},
            "limits": {"memory-mb": MEMORY_MB[self.role], "max-fds": 4096},
            "listen": {name: f"{self.ip}:{ROLE_PORTS[name]}" for name in serves},
            "bounds": BOUNDS,
            "cloud": {"address": self.fleet.list_address},
        }
        if self.role != "entry":
            self.data.mkdir(exist_ok=True)
            fields["data-dir"] = str(self.data)
        path = self.folder / "boot.toml"
        path.write_text(render(TEMPLATE.read_text(), fields))
        return path

    def start(self, bootstrap=False):
        """Start the process with the command of the deploy file."""
        path = self.write_settings(bootstrap)
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["BURDOCKWALL_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        with open(self.folder / "log", "ab") as log:
            self.popen = subprocess.Popen(
                self.fleet.commands[self.role],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """Kill the process and wait until it is gone."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()


class Fleet:
    """Three control instances, three stores and some entries."""

    def __init__(self, entries=2, stores=3):
        roles = tomllib.loads(DEPLOY_FILE.read_text())["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.list_address = f"{net}.2:{LIST_PORT}"
        self.server_ip = f"{net}.3"
        self.seeds = [f"{net}.{11 + at}:{ROLE_PORTS['control']}" for at in range(3)]
        self.controls = self._create("control", net, 11, 3)
        self.stores = self._create("storage", net, 21, stores)
        self.entries = self._create("entry", net, 31, entries)
        self.processes = [*self.controls, *self.stores, *self.entries]

    def _create(self, role, net, first, count):
        return [
            Process(self, role, at + 1, f"{net}.{first + at}", ZONES[at % len(ZONES)])
            for at in range(count)
        ]

    def start(self, bootstrap=False):
        """Start all processes."""
        for process in self.processes:
            process.start(bootstrap)

    def kill(self):
        """Kill all processes."""
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            if process.popen is not None:
                process.popen.wait()

    def close(self, keep=False):
        """End all processes and remove the folder."""
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
        self.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def exit_on_signals(code):
    """Exit in order on SIGTERM too, so that all processes are ended."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(code))


class Record:
    """The file of what was sent, answered and run."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self.path = Path(path)
        self.path.write_text("", encoding="utf-8")

    def write(self, text):
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        print(line, flush=True)
        with self.path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")
