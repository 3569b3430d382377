"""Entry point of the built file, stored as ``__main__.py`` of the archive.

Python imports pure Python modules directly from the archive, but the dynamic loader opens extension
modules only from a file system. Each extension module is therefore unpacked when it is imported,
loaded, and deleted; its mapped pages stay until the process ends, and no file is left behind.
"""

from __future__ import annotations

import importlib.machinery
import importlib.util
import os
import sys
from collections.abc import Sequence
from types import ModuleType
from typing import cast
from zipimport import zipimporter

NATIVE_TABLE = "native.tsv"
USAGE_ERROR_STATUS = 2


def unpack_root_paths() -> list[str]:
    """Return the directories in which to unpack modules, the preferred ones first.

    ``/run`` precedes ``/tmp`` because it is backed by memory: VMs have no disks.
    """
    configured = os.environ.get("TMPDIR")
    return ([configured] if configured else []) + ["/run", "/tmp"]


def new_unpack_directory() -> str:
    """Create a directory that only this user may enter, and return its path.

    :raises OSError: if every directory of ``unpack_root_paths`` is unwritable or mounted noexec
    """
    for root in unpack_root_paths():
        path = os.path.join(root, f"dotterelhill-{os.getpid()}-{os.urandom(8).hex()}")
        try:
            if os.statvfs(root).f_flag & os.ST_NOEXEC:
                continue
            os.mkdir(path, 0o700)
        except OSError:
            continue
        return path
    raise OSError(f"no writable directory without noexec among {', '.join(unpack_root_paths())}")


def _write_file(directory: str, name: str, data: bytes) -> None:
    path = os.path.join(directory, name)
    os.makedirs(os.path.dirname(path), mode=0o700, exist_ok=True)
    with open(path, "xb") as file:
        file.write(data)


def _remove_directory(directory: str) -> None:
    for path, folders, files in os.walk(directory, topdown=False):
        for name in files:
            os.unlink(os.path.join(path, name))
        for name in folders:
            os.rmdir(os.path.join(path, name))
    os.rmdir(directory)


def read_archive_file(archive: zipimporter, name: str) -> bytes:
    """Return the content of one file in the archive."""
    return archive.get_data(os.path.join(archive.archive, name))


class NativeLoader(importlib.machinery.ExtensionFileLoader):
    """Loader of one extension module in the archive.

    :param names: paths in the archive: the module, then the shared libraries it is linked to
    """

    def __init__(self, fullname: str, archive: zipimporter, names: Sequence[str]) -> None:
        super().__init__(fullname, os.path.join(archive.archive, names[0]))
        self._archive = archive
        self._names = names

    def create_module(self, spec: importlib.machinery.ModuleSpec) -> ModuleType:
        """Return the module, loaded from an unpacked file that is deleted afterwards."""
        directory = new_unpack_directory()
        origin = spec.origin
        try:
            for name in self._names:
                _write_file(directory, name, read_archive_file(self._archive, name))
            spec.origin = os.path.join(directory, self._names[0])
            return super().create_module(spec)
        finally:
            spec.origin = origin
            _remove_directory(directory)


class NativeFinder:
    """Finder of the extension modules in the archive.

    :param table: paths in the archive by full name of the module
    """

    def __init__(self, archive: zipimporter, table: dict[str, list[str]]) -> None:
        self._archive = archive
        self._table = table

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of an extension module, or None if the archive has none of this name."""
        names = self._table.get(fullname)
        if names is None:
            return None
        loader = NativeLoader(fullname, self._archive, names)
        return importlib.util.spec_from_file_location(fullname, loader.path, loader=loader)


def parse_native_table(text: str) -> tuple[str, dict[str, list[str]]]:
    """Return the suffix of extension modules, and the paths in the archive by module name.

    >>> parse_native_table(".abi.so\\na.b\\ta/b.abi.so\\tlibs/c.so\\n")
    ('.abi.so', {'a.b': ['a/b.abi.so', 'libs/c.so']})
    """
    suffix, *lines = text.splitlines()
    rows = [line.split("\t") for line in lines]
    return suffix, {row[0]: row[1:] for row in rows}


def start() -> None:
    """Run the command line from the archive; exit with status 2 on an incompatible Python."""
    archive = cast(zipimporter, globals()["__loader__"])
    suffix, table = parse_native_table(read_archive_file(archive, NATIVE_TABLE).decode())
    if suffix not in importlib.machinery.EXTENSION_SUFFIXES:
        message = f"dotterelhill: needs a Python with extension modules {suffix}, not {sys.version}"
        print(message, file=sys.stderr)
        sys.exit(USAGE_ERROR_STATUS)
    sys.meta_path.insert(0, NativeFinder(archive, table))
    from dotterelhill.commands.main import main

    main()


if __name__ == "__main__":
    start()
