"""Tests that build the program and run its commands."""

from __future__ import annotations

from collections.abc import Mapping
import os
from pathlib import Path
import subprocess
import sys

import pytest

from bench.processes import ROOT
from gypsumsail import VERSION
from gypsumsail.cli.const import ExitCode
from tests.cli.common import closed_url
from tests.document.common import FAULTY_TEXT, MODEL_TEXT
from tests.packaging.common import ProgramResult, children_of, run_and_record_children

IMPORT_ALL_MODULES = """
import importlib, pkgutil
import gypsumsail, uvicorn.protocols.http.httptools_impl, uvloop

for module in pkgutil.walk_packages(gypsumsail.__path__, "gypsumsail."):
    if not module.name.endswith("__main__"):
        importlib.import_module(module.name)
print(gypsumsail.__file__)
"""

# The first line of the program starts the same interpreter but looks it up on the
# PATH, where a version manager may have installed a shell script that starts further
# processes. These would count as children of the program.
INTERPRETER = (os.path.realpath(sys.executable), "-I", "-S")


class Program:
    """The built program with its own directory for unpacked files."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.file = directory / "gypsumsail"
        subprocess.run(
            [ROOT / "script" / "build", self.file],
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def environment(self, variables: Mapping[str, str]) -> dict[str, str]:
        return {
            "PATH": os.environ["PATH"],
            "SHIV_ROOT": str(self.directory / "unpacked"),
            **variables,
        }

    def command(self, *arguments: str) -> list[str]:
        return [*INTERPRETER, str(self.file), *arguments]

    def run(self, *arguments: str, **variables: str) -> ProgramResult:
        return run_and_record_children(
            self.command(*arguments), self.environment(variables), self.directory
        )


@pytest.fixture(scope="module")
def program(tmp_path_factory: pytest.TempPathFactory) -> Program:
    return Program(tmp_path_factory.mktemp("program"))


def test_first_line_names_the_interpreter(program: Program) -> None:
    with program.file.open("rb") as file:
        assert file.readline() == b"#!/usr/bin/env -S python3.11 -I -S\n"


def test_first_run_unpacks_and_starts_no_process(program: Program) -> None:
    first = program.run("version")
    again = program.run("version")

    assert first.stdout == again.stdout == f"gypsumsail {VERSION}\n"
    assert not first.children | again.children


def test_document_check_reports_findings(program: Program, tmp_path: Path) -> None:
    good, bad = tmp_path / "good.yaml", tmp_path / "bad.yaml"
    good.write_text(MODEL_TEXT)
    bad.write_text(FAULTY_TEXT)

    checked = program.run("document", "check", str(good))
    refused = program.run("document", "check", str(good), str(bad))

    assert checked.exit_code == ExitCode.OK, checked.stderr
    assert refused.exit_code == ExitCode.FINDINGS
    assert len(refused.stdout.splitlines()) == 10
    assert not checked.children | refused.children


def test_program_contains_all_imported_modules(
    program: Program, tmp_path: Path
) -> None:
    script = tmp_path / "everything.py"
    script.write_text(IMPORT_ALL_MODULES)

    run = program.run(str(script), SHIV_INTERPRETER="1", PYTHONPATH=str(ROOT / "src"))

    assert run.exit_code == 0, run.stderr
    assert run.stdout.startswith(str(program.directory / "unpacked"))
    assert not run.children


def test_invalid_settings_are_a_usage_error(program: Program) -> None:
    run = program.run("entry", "--listen", "nowhere")

    assert run.exit_code == ExitCode.USAGE
    assert "--listen: listen: must have the form IP:PORT" in run.stderr


def test_entry_runs_in_one_process(program: Program) -> None:
    variables = {
        "GYPSUMSAIL_OPERATOR_KEY": "operator-key-of-the-test",
        "GYPSUMSAIL_PEER_SECRET": "peer-secret-of-the-test",
        "GYPSUMSAIL_PLATFORM_URL": closed_url(),
        "GYPSUMSAIL_DRAIN_SECONDS": "0",
    }
    entry = subprocess.Popen(
        program.command("entry", "--name", "entry-1", "--zone", "brest-hall"),
        env=program.environment(variables),
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    with entry:
        assert entry.stdout is not None
        line = entry.stdout.readline().split()
        children = children_of(entry.pid)
        entry.terminate()

    assert (line[0], line[2]) == ("listening", "peers")
    assert not children
    assert entry.returncode == 0
