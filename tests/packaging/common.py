"""Runs a program and records the processes that it starts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
import subprocess
import time

SAMPLE_SECONDS = 0.001


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgramResult:
    """Result of a run.

    Attributes
    ----------
    children
        Process ids of the child processes seen during the run.
    """

    exit_code: int
    stdout: str
    stderr: str
    children: frozenset[int]


def run_and_record_children(
    command: list[str], environment: Mapping[str, str], output: Path
) -> ProgramResult:
    """Run a command to its end and sample its child processes meanwhile."""
    children: set[int] = set()
    stdout, stderr = output / "stdout", output / "stderr"
    with stdout.open("wb") as out, stderr.open("wb") as err:
        process = subprocess.Popen(command, env=environment, stdout=out, stderr=err)
        while process.poll() is None:
            children |= children_of(process.pid)
            time.sleep(SAMPLE_SECONDS)
    return ProgramResult(
        exit_code=process.returncode,
        stdout=stdout.read_text(),
        stderr=stderr.read_text(),
        children=frozenset(children),
    )


def children_of(pid: int) -> set[int]:
    """Return the process ids of the current children of a process."""
    found: set[int] = set()
    for file in Path(f"/proc/{pid}/task").glob("*/children"):
        try:
            found |= {int(child) for child in file.read_text().split()}
        except OSError:
            continue
    return found
