"""Run benchmarks by name: `python -m benchmarks NAME`, `all` or `list`."""

import importlib
import pkgutil
import sys
from pathlib import Path

import msgspec

from benchmarks.result import Result

HELPERS = ("result", "__main__")


def list_names() -> list[str]:
    """List the benchmark modules; each has a function `measure`."""
    folder = str(Path(__file__).parent)
    modules = [module.name for module in pkgutil.iter_modules([folder])]
    return sorted(
        name for name in modules if name not in HELPERS and not name.startswith("_")
    )


def run_benchmark(name: str) -> bool:
    """Run one benchmark, print its results, and return whether every bound holds."""
    module = importlib.import_module(f"benchmarks.{name}")
    holds = True
    results: list[Result] = module.measure()
    for result in results:
        print(msgspec.json.encode(result).decode(), flush=True)
        holds = holds and result.holds is not False
    return holds


def main(arguments: list[str]) -> int:
    """Run the named benchmarks and return the exit code."""
    names = list_names()
    if arguments == ["list"]:
        print("\n".join(names))
        return 0
    given = [argument.replace("-", "_") for argument in arguments]
    selected = names if given == ["all"] else given
    unknown = [name for name in selected if name not in names]
    if unknown or not selected:
        print(f"unknown {unknown}; known: {', '.join(names)}", file=sys.stderr)
        return 2
    passed = [run_benchmark(name) for name in selected]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
