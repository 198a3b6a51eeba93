"""Tests of structured lines that are bounded and never block."""

from __future__ import annotations

import json
import logging
import os

from gypsumsail.logs.decisions import (
    LINES_AT_ONCE,
    DecisionFormatter,
    DecisionLog,
)
from gypsumsail.logs.line_writer import LineWriter
from tests.common import ManualClock


class KeptLines(logging.Handler):
    """Keeps formatted lines."""

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(DecisionFormatter("v1"))
        self.lines: list[dict[str, object]] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line."""
        self.lines.append(json.loads(self.format(record)))


def log() -> tuple[DecisionLog, KeptLines, ManualClock]:
    clock = ManualClock()
    logger = logging.Logger("tests")
    kept = KeptLines()
    logger.addHandler(kept)
    return DecisionLog(clock, logger), kept, clock


def test_a_line_names_the_event_and_its_inputs() -> None:
    found, kept, _ = log()
    found.write("placed", request="id-1", waited_ms=3)
    (line,) = kept.lines
    assert line["event"] == "placed"
    assert (line["vm"], line["request"], line["waited_ms"]) == ("v1", "id-1", 3)


def test_lines_over_the_rate_are_counted_and_told() -> None:
    found, kept, clock = log()
    for _ in range(int(LINES_AT_ONCE) + 50):
        found.write("placed")
    assert len(kept.lines) == LINES_AT_ONCE
    assert found.dropped_in_all == 50
    clock.now += 1.0
    found.write("placed")
    assert kept.lines[-1]["lines_dropped"] == 50


def test_a_reader_that_does_not_read_blocks_nothing() -> None:
    reading, writing = os.pipe()
    try:
        writer = LineWriter(writing, most_waiting=200_000)
        for _ in range(3_000):
            writer.write("x" * 99 + "\n")
            writer.flush()
        assert writer.dropped > 0
        os.set_blocking(reading, False)
        os.read(reading, 1_000_000)
        before = len(writer.waiting)
        writer.flush()
        assert len(writer.waiting) < before
    finally:
        os.close(reading)
        os.close(writing)


def test_a_reader_that_is_gone_is_no_error() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter(writing)
    writer.write("line\n")
    writer.flush()
    assert writer.dropped == 1
    os.close(writing)
