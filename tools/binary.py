"""Build the program as one executable zip archive that runs in one process.

docs/operators.md, section "The built file", has the reasons for this form.
"""

from __future__ import annotations

import importlib.machinery
import py_compile
import sys
import tempfile
import tomllib
import zipfile
from collections.abc import Iterator
from dataclasses import dataclass
from importlib.metadata import Distribution, distribution
from pathlib import Path, PurePosixPath

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "dotterelhill"
SHEBANG = b"#!/usr/bin/env python3.11\n"
MAIN_SOURCE = ROOT / "tools" / "binary_main.py"
NATIVE_TABLE = "native.tsv"
# A fixed timestamp makes two builds of the same sources identical.
ARCHIVE_TIMESTAMP = (2026, 1, 1, 0, 0, 0)
# Tests and caches of the bundled libraries.
EXCLUDED_DIRECTORIES = frozenset({"tests", "test", "testing", "__pycache__"})
EXTENSION_SUFFIX = importlib.machinery.EXTENSION_SUFFIXES[0]


@dataclass(frozen=True, slots=True)
class ArchiveFile:
    """One file of the archive.

    :param name: path in the archive
    :param source: path of the content
    """

    name: str
    source: Path


def required_distributions(project: Path) -> list[Distribution]:
    """Return the distributions that the project depends on, directly or indirectly.

    :param project: ``pyproject.toml``
    """
    pending = list(tomllib.loads(project.read_text())["project"]["dependencies"])
    found: dict[str, Distribution] = {}
    while pending:
        requirement = Requirement(pending.pop())
        if requirement.marker is not None and not requirement.marker.evaluate({"extra": ""}):
            continue
        required = distribution(requirement.name)
        name = required.metadata["Name"].lower()
        if name not in found:
            found[name] = required
            pending += required.requires or []
    return [found[name] for name in sorted(found)]


def _is_included(path: PurePosixPath) -> bool:
    if EXCLUDED_DIRECTORIES.intersection(path.parts) or ".." in path.parts:
        return False
    if path.parent.name.endswith(".dist-info"):
        # Some libraries read their own version from their metadata.
        return path.name == "METADATA"
    return path.suffix == ".py" or ".so" in path.suffixes


def distribution_files(item: Distribution) -> Iterator[ArchiveFile]:
    """Yield the files of one distribution that belong in the archive."""
    for file in item.files or []:
        path = PurePosixPath(file)
        if _is_included(path):
            yield ArchiveFile(str(path), Path(str(item.locate_file(file))))


def package_files(root: Path) -> Iterator[ArchiveFile]:
    """Yield the modules of dotterelhill, without its tests."""
    for path in sorted((root / "dotterelhill").rglob("*.py")):
        name = path.relative_to(root).as_posix()
        if _is_included(PurePosixPath(name)):
            yield ArchiveFile(name, path)


def native_rows(archive_files: list[ArchiveFile]) -> list[list[str]]:
    """Return a row for each extension module: full name, path and paths of its shared libraries.

    A wheel stores the shared libraries that its extension modules are linked to in ``NAME.libs``.
    """
    names = [
        archive_file.name
        for archive_file in archive_files
        if ".so" in PurePosixPath(archive_file.name).suffixes
    ]
    libraries = [name for name in names if PurePosixPath(name).parts[0].endswith(".libs")]
    rows = []
    for name in names:
        if name in libraries:
            continue
        stem = PurePosixPath(name).name.split(".")[0]
        fullname = ".".join([*PurePosixPath(name).parent.parts, stem])
        package = PurePosixPath(name).parts[0]
        linked = [item for item in libraries if item.startswith((f"{package}.", f"py{package}."))]
        rows.append([fullname, name, *linked])
    return rows


def _compile_module(archive_file: ArchiveFile, folder: Path) -> bytes:
    target = folder / "module.pyc"
    py_compile.compile(
        str(archive_file.source),
        cfile=str(target),
        dfile=archive_file.name,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    return target.read_bytes()


def _directory_entries(names: list[str]) -> list[str]:
    # Python finds a namespace package only if the archive has an entry for its directory.
    parents = {parent for name in names for parent in PurePosixPath(name).parents}
    return sorted(f"{parent}/" for parent in parents if str(parent) != ".")


def _add_entry(archive: zipfile.ZipFile, name: str, data: bytes) -> None:
    info = zipfile.ZipInfo(name, ARCHIVE_TIMESTAMP)
    info.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(info, data)


def build(output: Path) -> Path:
    """Build the archive and return its path.

    :param output: path to write it to
    """
    archive_files = list(package_files(ROOT))
    for item in required_distributions(ROOT / "pyproject.toml"):
        archive_files += distribution_files(item)
    rows = native_rows(archive_files)
    table = "\n".join([EXTENSION_SUFFIX, *("\t".join(row) for row in rows)]) + "\n"
    output.parent.mkdir(parents=True, exist_ok=True)
    partial = output.with_suffix(".partial")
    with partial.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED, compresslevel=9) as archive:
            _add_entry(archive, "__main__.py", MAIN_SOURCE.read_bytes())
            _add_entry(archive, NATIVE_TABLE, table.encode())
            for name in _directory_entries([archive_file.name for archive_file in archive_files]):
                _add_entry(archive, name, b"")
            _add_files(archive, archive_files)
    partial.chmod(0o755)
    partial.replace(output)
    return output


def _add_files(archive: zipfile.ZipFile, archive_files: list[ArchiveFile]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        for archive_file in archive_files:
            _add_entry(archive, archive_file.name, archive_file.source.read_bytes())
            if archive_file.name.endswith(".py"):
                _add_entry(
                    archive, f"{archive_file.name}c", _compile_module(archive_file, Path(folder))
                )


def main(arguments: list[str]) -> int:
    """Build the archive and return the exit status; the first argument replaces the output path."""
    output = build(Path(arguments[0]) if arguments else OUTPUT)
    print(f"{output} ({output.stat().st_size / 1e6:.1f} MB)")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
