"""Build of `dist/burdockwall`, one file that needs only Python 3.11."""

import compileall
import py_compile
import shutil
import subprocess
import sys
import tempfile
import zipfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "burdockwall"
SHEBANG = b"#!/usr/bin/env python3.11\n"
FIXED_TIME = (2026, 1, 1, 0, 0, 0)
MAIN = """\
import os
import sys

sys.dont_write_bytecode = True
os.environ["LOGBOOK_DISABLE_SPEEDUPS"] = "1"

from burdockwall.archive import install_finder

install_finder(sys.path[0])

from burdockwall.cmdline import main

main()
"""
# Files of the libraries that the program never imports.
UNUSED_PATTERNS = (
    "*.dist-info",
    "bin",
    "*/test",
    "*/tests",
    "*/testsuite",
    "setuptools",
)
UNUSED_PATTERNS += ("pkg_resources", "_distutils_hack", "pbr", "*.pth", "*/_testcapi*")


def install_packages(stage: Path) -> None:
    """Install the project and its locked dependencies into a folder."""
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--target"]
    command += [str(stage), "--constraint", str(ROOT / "requirements.lock")]
    command += ["--no-build-isolation", "--no-compile", str(ROOT)]
    subprocess.run(command, check=True)


def remove_unused(stage: Path) -> None:
    """Remove the files that the program never imports."""
    for pattern in UNUSED_PATTERNS:
        for path in sorted(stage.glob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()


def compile_modules(stage: Path) -> None:
    """Compile every module beside its source, as zip imports expect."""
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    compileall.compile_dir(
        stage, quiet=2, legacy=True, invalidation_mode=mode, stripdir=str(stage)
    )


def write_archive(stage: Path, target: Path) -> None:
    """Write the folder as an executable archive, with fixed file times and order."""
    target.parent.mkdir(exist_ok=True)
    with target.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for path in sorted(stage.rglob("*")):
                if path.is_file():
                    name = str(path.relative_to(stage))
                    info = zipfile.ZipInfo(name, FIXED_TIME)
                    info.compress_type = zipfile.ZIP_DEFLATED
                    archive.writestr(info, path.read_bytes())
    target.chmod(0o755)


def main() -> None:
    """Build the file and print its size."""
    with tempfile.TemporaryDirectory() as folder:
        stage = Path(folder)
        install_packages(stage)
        remove_unused(stage)
        (stage / "__main__.py").write_text(MAIN)
        compile_modules(stage)
        write_archive(stage, TARGET)
    size = TARGET.stat().st_size / 1_048_576
    print(f"{TARGET.relative_to(ROOT)}: {size:.1f} MB")


if __name__ == "__main__":
    main()
