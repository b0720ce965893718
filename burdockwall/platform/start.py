"""Start a process of the system on the platform, by the role in its settings."""

import os
from pathlib import Path

import anyio

from burdockwall.errors import Code, OperatorError
from burdockwall.platform.cloud import CloudList
from burdockwall.platform.codec import PlatformCodec
from burdockwall.platform.configuration import decode_deployment
from burdockwall.platform.control import create_calls
from burdockwall.platform.names import SETTINGS_VARIABLE
from burdockwall.process.core import CoreNode
from burdockwall.process.front import Front
from burdockwall.process.sink import LineSink
from burdockwall.process.storage.node import StoreNode
from burdockwall.settings import Settings
from burdockwall.types import Role


def find_settings_path() -> Path:
    """Return the path of the settings file that the platform names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        detail = f"the variable {SETTINGS_VARIABLE} names no file"
        raise OperatorError(Code.SETTINGS_INVALID, detail)
    return Path(path)


async def run_role(settings: Settings, path: Path, sink: LineSink) -> None:
    """Run a process until it is stopped."""
    async with anyio.create_task_group() as group:
        group.start_soon(sink.run)
        await _run(settings, path)
        group.cancel_scope.cancel()


async def _run(settings: Settings, path: Path) -> None:
    match settings.role:
        case Role.ENTRY:
            await Front(settings, PlatformCodec(), decode_deployment).run(path)
        case Role.STORAGE:
            await StoreNode(settings).run(path)
        case Role.CONTROL:
            node = CoreNode(settings, CloudList(settings.platform_address))
            create_calls(node)
            await node.run(path)
        case Role.BOTH:
            detail = "[instance] role must be entry, control or storage"
            raise OperatorError(Code.SETTINGS_INVALID, detail)
