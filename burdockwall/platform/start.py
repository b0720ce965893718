"""Start of a process on the platform, in the role that its settings give."""

import os
from pathlib import Path
from typing import Protocol

import anyio

from burdockwall.errors import Code, OperatorError
from burdockwall.platform.names import SETTINGS_VARIABLE
from burdockwall.process.first_settings import wait_for_settings
from burdockwall.process.logs import open_log
from burdockwall.process.sink import LineSink
from burdockwall.process.startup import resume_collection
from burdockwall.settings import Settings
from burdockwall.types import Role


class RoleNode(Protocol):
    """A process in one role."""

    async def run(self, path: Path | None) -> None:
        """Run until stopped; the settings are reloaded from the path."""
        ...


def find_settings_path() -> Path:
    """Return the path of the settings file that the platform names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        detail = f"the variable {SETTINGS_VARIABLE} names no file"
        raise OperatorError(Code.SETTINGS_INVALID, detail)
    return Path(path)


def run_process() -> None:
    """Run this process with the settings that the platform names."""
    path = find_settings_path()
    with open_log(Settings()):
        settings = wait_for_settings(path)
    with open_log(settings) as sink:
        anyio.run(run_role, settings, path, sink)


async def run_role(settings: Settings, path: Path, sink: LineSink) -> None:
    """Run a process until it is stopped."""
    async with anyio.create_task_group() as group:
        group.start_soon(sink.run)
        node = _create_node(settings)
        resume_collection()
        await node.run(path)
        group.cancel_scope.cancel()


def _create_node(settings: Settings) -> RoleNode:
    # Only the modules that the role needs are imported, to shorten a restart.
    match settings.role:
        case Role.ENTRY:
            from burdockwall.platform.codec import PlatformCodec
            from burdockwall.platform.configuration import decode_deployment
            from burdockwall.process.forwarding_entry import ForwardingEntry

            return ForwardingEntry(settings, PlatformCodec(), decode_deployment)
        case Role.STORAGE:
            from burdockwall.process.storage.node import StoreNode

            return StoreNode(settings)
        case Role.CONTROL:
            from burdockwall.platform.configuration import decode_deployment
            from burdockwall.platform.control import install_handlers
            from burdockwall.platform.server_list import ServerListReader
            from burdockwall.process.control_node import ControlNode

            reader = ServerListReader(settings.platform_address)
            node = ControlNode(settings, reader, decode_deployment)
            install_handlers(node)
            return node
        case Role.BOTH:
            detail = "[instance] role must be entry, control or storage"
            raise OperatorError(Code.SETTINGS_INVALID, detail)
