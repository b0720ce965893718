"""The demonstration's output and that in the README."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 60
VARYING = (
    (re.compile(r"127\.0\.0\.1:\d+"), "127.0.0.1:PORT"),
    (re.compile(r"\d+\.\d+ s$", re.MULTILINE), "N s"),
)


class DemoSubject:
    def __init__(self) -> None:
        command = [sys.executable, "-m", "burdockwall.fakes.demo"]
        self.done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_S
        )

    def read_expected(self) -> str:
        text = (ROOT / "README.md").read_text("utf-8")
        block = text.partition("<!-- demo -->\n```\n")[2].partition("```\n")[0]
        return self.mask(block)

    def mask(self, text: str) -> str:
        for pattern, word in VARYING:
            text = pattern.sub(word, text)
        return "\n".join(line.rstrip() for line in text.splitlines())
