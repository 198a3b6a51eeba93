"""Collects the program with its libraries, and adds compiled modules."""

from __future__ import annotations

from importlib.metadata import Distribution, distribution
import importlib.util
from pathlib import Path
import py_compile
import re
import shutil
import sys
import tomllib
from typing import Final
import zipfile

from packaging.requirements import Requirement

FILE_MODE: Final = 0o100644
ROOT: Final = Path(__file__).resolve().parent.parent

# Dependencies of litestar and hdrhistogram that only their tests, command lines and
# builds need.
UNUSED_DISTRIBUTIONS: Final = frozenset(
    {
        "faker",
        "markdown-it-py",
        "mdurl",
        "pbr",
        "polyfactory",
        "rich-click",
        "setuptools",
    }
)
EXCLUDED_DIRECTORIES: Final = frozenset({"__pycache__", "tests", "test", "testing"})
EXCLUDED_SUFFIXES: Final = frozenset({".pyc", ".pyi", ".pyx", ".pxd", ".pxi", ".c"})


def runtime_distributions() -> dict[str, Distribution]:
    """Return the installed dependencies of the project, including indirect ones."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    pending = [Requirement(text) for text in project["project"]["dependencies"]]
    distributions: dict[str, Distribution] = {}
    while pending:
        requirement = pending.pop()
        name = re.sub(r"[-_.]+", "-", requirement.name).lower()
        if name in distributions or name in UNUSED_DISTRIBUTIONS:
            continue
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        distributions[name] = distribution(name)
        pending += [Requirement(text) for text in distributions[name].requires or ()]
    return distributions


def copy_distribution(library: Distribution, target: Path) -> None:
    """Copy the files of a library that are needed at run time."""
    for file in library.files or ():
        parts = set(file.parts)
        if ".." in parts or parts & EXCLUDED_DIRECTORIES:
            continue
        if file.suffix in EXCLUDED_SUFFIXES:
            continue
        destination = target / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(library.locate_file(file)), destination)


def collect(target: Path) -> None:
    """Replace a directory by one with the program and its libraries."""
    shutil.rmtree(target, ignore_errors=True)
    for library in runtime_distributions().values():
        copy_distribution(library, target)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "src" / "gypsumsail", target / "gypsumsail", ignore=ignored)


def add_compiled_modules(program: Path, work: Path) -> None:
    """Add compiled modules to a program file, because shiv does not include them."""
    with zipfile.ZipFile(program, "a") as archive:
        names = [name for name in archive.namelist() if name.endswith(".py")]
        archive.extractall(work, names)
        for name in names:
            source = work / name
            compiled = py_compile.compile(
                str(source),
                dfile=name,
                doraise=True,
                invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            )
            entry = zipfile.ZipInfo(compiled_module_path(name))
            entry.compress_type = zipfile.ZIP_DEFLATED
            entry.external_attr = FILE_MODE << 16
            archive.writestr(entry, Path(compiled).read_bytes())


def compiled_module_path(name: str) -> str:
    """Return the path of a compiled module in the archive.

    Modules that are imported from the archive belong beside their source; those that
    are unpacked first belong in the cache directory.
    """
    if not name.startswith("site-packages/"):
        return f"{name}c"
    return importlib.util.cache_from_source(name)


def main() -> None:
    """Run a step of the build: ``collect SITE`` or ``compile PROGRAM WORK``."""
    match sys.argv[1:]:
        case ["collect", site]:
            collect(Path(site))
        case ["compile", program, work]:
            add_compiled_modules(Path(program), Path(work))
        case _:
            sys.exit(main.__doc__)


if __name__ == "__main__":
    main()
