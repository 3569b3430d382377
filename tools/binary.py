"""Build the one file that runs as one process: a zip archive that Python starts.

docs/operators.md, section "The built file", states why this form was chosen.
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
# A fixed time makes two builds of the same sources equal.
FIXED_TIME = (2026, 1, 1, 0, 0, 0)
# Directories of libraries' own tests.
LEFT_OUT = frozenset({"tests", "test", "testing", "__pycache__"})
EXTENSION_SUFFIX = importlib.machinery.EXTENSION_SUFFIXES[0]


@dataclass(frozen=True, slots=True)
class Member:
    """One file of the archive.

    :param name: path in the archive
    """

    name: str
    source: Path


def required_distributions(project: Path) -> list[Distribution]:
    """Return the distributions that the project needs, with those that they need.

    :param project: ``pyproject.toml``
    """
    wanted = list(tomllib.loads(project.read_text())["project"]["dependencies"])
    found: dict[str, Distribution] = {}
    while wanted:
        requirement = Requirement(wanted.pop())
        if requirement.marker is not None and not requirement.marker.evaluate({"extra": ""}):
            continue
        item = distribution(requirement.name)
        name = item.metadata["Name"].lower()
        if name not in found:
            found[name] = item
            wanted += item.requires or []
    return [found[name] for name in sorted(found)]


def _is_wanted(path: PurePosixPath) -> bool:
    if LEFT_OUT.intersection(path.parts) or ".." in path.parts:
        return False
    if path.parent.name.endswith(".dist-info"):
        # Libraries ask for their own version.
        return path.name == "METADATA"
    return path.suffix == ".py" or ".so" in path.suffixes


def library_members(item: Distribution) -> Iterator[Member]:
    """Yield the files of one distribution that the program needs."""
    for file in item.files or []:
        path = PurePosixPath(file)
        if _is_wanted(path):
            yield Member(str(path), Path(str(item.locate_file(file))))


def own_members(root: Path) -> Iterator[Member]:
    """Yield the modules of dotterelhill without its tests."""
    for path in sorted((root / "dotterelhill").rglob("*.py")):
        name = path.relative_to(root).as_posix()
        if _is_wanted(PurePosixPath(name)):
            yield Member(name, path)


def native_rows(members: list[Member]) -> list[list[str]]:
    """Return, for each compiled module, its full name, its file and the libraries beside it.

    A wheel keeps the libraries that its modules are linked to in ``NAME.libs``.
    """
    names = [member.name for member in members if ".so" in PurePosixPath(member.name).suffixes]
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


def _compiled(member: Member, folder: Path) -> bytes:
    target = folder / "module.pyc"
    py_compile.compile(
        str(member.source),
        cfile=str(target),
        dfile=member.name,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    return target.read_bytes()


def _directories(names: list[str]) -> list[str]:
    # Python finds a namespace package in an archive only by its directory entry.
    parents = {parent for name in names for parent in PurePosixPath(name).parents}
    return sorted(f"{parent}/" for parent in parents if str(parent) != ".")


def _add(archive: zipfile.ZipFile, name: str, data: bytes) -> None:
    info = zipfile.ZipInfo(name, FIXED_TIME)
    info.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(info, data)


def build(output: Path) -> Path:
    """Return the built file.

    :param output: where to write it
    """
    members = list(own_members(ROOT))
    for item in required_distributions(ROOT / "pyproject.toml"):
        members += library_members(item)
    rows = native_rows(members)
    table = "\n".join([EXTENSION_SUFFIX, *("\t".join(row) for row in rows)]) + "\n"
    output.parent.mkdir(parents=True, exist_ok=True)
    partial = output.with_suffix(".partial")
    with partial.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED, compresslevel=9) as archive:
            _add(archive, "__main__.py", MAIN_SOURCE.read_bytes())
            _add(archive, NATIVE_TABLE, table.encode())
            for name in _directories([member.name for member in members]):
                _add(archive, name, b"")
            _add_members(archive, members)
    partial.chmod(0o755)
    partial.replace(output)
    return output


def _add_members(archive: zipfile.ZipFile, members: list[Member]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        for member in members:
            _add(archive, member.name, member.source.read_bytes())
            if member.name.endswith(".py"):
                _add(archive, f"{member.name}c", _compiled(member, Path(folder)))


def main(arguments: list[str]) -> int:
    """Return the exit status; the first argument replaces the output path."""
    output = build(Path(arguments[0]) if arguments else OUTPUT)
    print(f"{output} ({output.stat().st_size / 1e6:.1f} MB)")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
