import ast
from pathlib import Path

from behave import then

from burdockwall.platform import names

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "burdockwall"
FOLDER = PACKAGE / "platform"
# The fakes stand in for the platform, so they use its names.
FAKES = PACKAGE / "fakes"
# Names of HTTP, and a common header for keys, which request/caller.py reads as well.
COMMON = {"host", "connection", "keep-alive", "retry-after", "x-api-key"}


def list_modules():
    return [path for path in PACKAGE.rglob("*.py") if FOLDER not in path.parents]


def list_imports(path):
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@then('only the command line and the folder itself import "{module}"')
def step_imports(context, module):
    importers = [
        path.name
        for path in list_modules()
        if any(name.startswith(module) for name in list_imports(path))
    ]
    assert importers == ["cmdline.py"], importers


def list_strings(path):
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Constant):
            value = node.value
            if isinstance(value, bytes):
                yield value.decode("latin-1")
            elif isinstance(value, str):
                yield value


@then("no module outside the folder names a header or call of the platform")
def step_names(context):
    platform_names = (
        {
            value.decode() if isinstance(value, bytes) else value
            for name, value in vars(names).items()
            if name.isupper() and isinstance(value, bytes | str)
        }
        - COMMON
        - {names.LIST_PATH}
    )
    violations = [
        (path.name, text)
        for path in list_modules()
        if FAKES not in path.parents
        for text in list_strings(path)
        if text in platform_names
    ]
    assert violations == [], violations


@then("the folder has fewer than {count:d} lines")
def step_size(context, count):
    lines = sum(
        len(path.read_text("utf-8").splitlines()) for path in FOLDER.rglob("*.py")
    )
    assert lines < count, lines
