#!/usr/bin/env bash
# Build the stand-ins. They are Python without dependencies, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 must be 3.11 or later")
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text("utf-8"), str(path), "exec")
PY
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
