"""What the start of a process costs, by what its imports do."""

import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
MODULES = {
    "an entry": "burdockwall.process.forwarding_entry",
    "a store": "burdockwall.process.storage.node",
    "a control": "burdockwall.process.control_node",
}
IMPORT_LIMIT_S = 60
COUNT_GENERATED = """
import dataclasses, importlib, json, sys
generated = []
process = dataclasses._process_class
def record(cls, *arguments, **options):
    generated.append(f"{cls.__module__}.{cls.__name__}")
    return process(cls, *arguments, **options)
dataclasses._process_class = record
importlib.import_module("burdockwall.platform.start")
importlib.import_module(sys.argv[1])
print(json.dumps(generated))
"""


class StartupSubject:
    """A new process that imports what one role needs."""

    def __init__(self, role: str) -> None:
        self.module = MODULES[role]

    def list_generated(self) -> list[str]:
        """List the project's data classes whose code the imports generated."""
        command = [sys.executable, "-c", COUNT_GENERATED, self.module]
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            timeout=IMPORT_LIMIT_S,
            check=True,
        )
        names = json.loads(done.stdout)
        return [name for name in names if name.startswith("burdockwall.")]
