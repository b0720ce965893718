"""Import of extension modules from the shipped archive, without writing to a disk.

The standard library imports Python modules from a zip archive but needs a file for
an extension module. Each one is copied to an anonymous file of this process.
"""

import importlib.util
import os
import sys
import zipimport
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from types import ModuleType


class ArchiveExtensionFinder(MetaPathFinder):
    """Finds extension modules inside one zip archive."""

    def __init__(self, archive: str) -> None:
        self._importer = zipimport.zipimporter(archive)

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of an extension module of the archive, or None."""
        base = fullname.replace(".", os.sep)
        for suffix in EXTENSION_SUFFIXES:
            try:
                data = self._importer.get_data(base + suffix)
            except OSError:
                continue
            return _create_spec(fullname, data)
        return None


def _create_spec(name: str, data: bytes) -> ModuleSpec | None:
    # The descriptor stays open: the dynamic loader identifies libraries by their path,
    # so a reused descriptor number would stand for the library loaded before.
    descriptor = os.memfd_create(name)
    with os.fdopen(descriptor, "wb", closefd=False) as file:
        file.write(data)
    location = f"/proc/self/fd/{descriptor}"
    loader = ExtensionFileLoader(name, location)
    return importlib.util.spec_from_file_location(name, location, loader=loader)


def install_finder(archive: str) -> None:
    """Let the process import extension modules from an archive."""
    sys.meta_path.insert(0, ArchiveExtensionFinder(archive))
