"""Tests of the demo without faults on the stand-ins of v1_platform.py."""

from __future__ import annotations

from pathlib import Path

from soak.callers import CallResult
from soak.demo import as_table, documents_in_force
from soak.run import Soak


def result(kind: str, status: int, seconds: float) -> CallResult:
    return CallResult("0" * 16, kind, status, seconds=seconds)


def test_table_counts_calls_by_outcome() -> None:
    results = [
        result("safe", 200, 0.1),
        result("safe", 200, 0.1),
        result("safe", 503, 9.0),
        result("safe", 0, 9.0),
    ]
    rows = [line.split() for line in as_table(results).splitlines()]
    assert rows[1] == ["safe", "4", "2", "1", "1", "0.100", "0.100"]
    assert rows[2] == ["once", "0", "0", "0", "0", "-", "-"]


def test_last_document_in_a_log_is_in_force(tmp_path: Path) -> None:
    log = tmp_path / "v0.log"
    log.write_text(
        '{"event":"document in force","version":1}\n'
        "no line of the program\n"
        '{"event":"document in force","version":2}\n'
        '{"event":"stop"}\n'
    )
    empty = tmp_path / "v1.log"
    empty.write_text("")
    found = documents_in_force([str(log), str(empty)])
    assert found == ["v0: version 2", "v1: no document"]


async def test_all_calls_are_served_without_faults() -> None:
    report = await Soak(1, 2, 2.0).async_run_without_faults()
    assert report.findings == []
    assert report.calls > 10
    assert report.served == report.calls
