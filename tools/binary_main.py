"""Start of the built file; it becomes ``__main__.py`` of the archive.

Python imports plain modules straight from the archive, but the system's loader opens compiled ones
only from a file system. Each compiled module is therefore unpacked when it is imported, loaded, and
removed again; the mapped pages stay until the process ends, and nothing is left behind.
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
WRONG_USE_STATUS = 2


def unpack_roots() -> list[str]:
    """Return the directories to try, memory-backed ones first; VMs have no disks."""
    named = os.environ.get("TMPDIR")
    return ([named] if named else []) + ["/run", "/tmp"]


def new_unpack_directory() -> str:
    """Return a new directory that only this user may enter.

    :raises OSError: when no root is writable and allows code to be mapped
    """
    for root in unpack_roots():
        path = os.path.join(root, f"dotterelhill-{os.getpid()}-{os.urandom(8).hex()}")
        try:
            if os.statvfs(root).f_flag & os.ST_NOEXEC:
                continue
            os.mkdir(path, 0o700)
        except OSError:
            continue
        return path
    raise OSError(f"no writable directory without noexec among {', '.join(unpack_roots())}")


def _written(directory: str, name: str, data: bytes) -> None:
    path = os.path.join(directory, name)
    os.makedirs(os.path.dirname(path), mode=0o700, exist_ok=True)
    with open(path, "xb") as file:
        file.write(data)


def _removed(directory: str) -> None:
    for path, folders, files in os.walk(directory, topdown=False):
        for name in files:
            os.unlink(os.path.join(path, name))
        for name in folders:
            os.rmdir(os.path.join(path, name))
    os.rmdir(directory)


def archive_data(archive: zipimporter, name: str) -> bytes:
    """Return the content of one file of the archive."""
    return archive.get_data(os.path.join(archive.archive, name))


class NativeLoader(importlib.machinery.ExtensionFileLoader):
    """Loads one compiled module of the archive.

    :param names: files of the archive, the module first, then the libraries that it is linked to
    """

    def __init__(self, fullname: str, archive: zipimporter, names: Sequence[str]) -> None:
        super().__init__(fullname, os.path.join(archive.archive, names[0]))
        self._archive = archive
        self._names = names

    def create_module(self, spec: importlib.machinery.ModuleSpec) -> ModuleType:
        """Return the module, loaded from an unpacked file that is removed afterwards."""
        directory = new_unpack_directory()
        origin = spec.origin
        try:
            for name in self._names:
                _written(directory, name, archive_data(self._archive, name))
            spec.origin = os.path.join(directory, self._names[0])
            return super().create_module(spec)
        finally:
            spec.origin = origin
            _removed(directory)


class NativeFinder:
    """Finds the compiled modules of the archive.

    :param table: files by full name of the module
    """

    def __init__(self, archive: zipimporter, table: dict[str, list[str]]) -> None:
        self._archive = archive
        self._table = table

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        """Return where a compiled module is, or None when the archive has none of this name."""
        names = self._table.get(fullname)
        if names is None:
            return None
        loader = NativeLoader(fullname, self._archive, names)
        return importlib.util.spec_from_file_location(fullname, loader.path, loader=loader)


def read_table(text: str) -> tuple[str, dict[str, list[str]]]:
    """Return the suffix of compiled modules and the files by module.

    >>> read_table(".abi.so\\na.b\\ta/b.abi.so\\tlibs/c.so\\n")
    ('.abi.so', {'a.b': ['a/b.abi.so', 'libs/c.so']})
    """
    suffix, *lines = text.splitlines()
    rows = [line.split("\t") for line in lines]
    return suffix, {row[0]: row[1:] for row in rows}


def start() -> None:
    """Run the command line from the archive."""
    archive = cast(zipimporter, globals()["__loader__"])
    suffix, table = read_table(archive_data(archive, NATIVE_TABLE).decode())
    if suffix not in importlib.machinery.EXTENSION_SUFFIXES:
        message = f"dotterelhill: this file needs a Python with modules {suffix}; got {sys.version}"
        print(message, file=sys.stderr)
        sys.exit(WRONG_USE_STATUS)
    sys.meta_path.insert(0, NativeFinder(archive, table))
    from dotterelhill.commands.main import main

    main()


if __name__ == "__main__":
    start()
