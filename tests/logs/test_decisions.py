"""Tests of the rate-limited decision log and the non-blocking line writer."""

from __future__ import annotations

import json
import logging
import os

from gypsumsail.logs.decisions import (
    BURST_LINES,
    DecisionFormatter,
    DecisionLog,
)
from gypsumsail.logs.line_writer import LineWriter
from tests.common import ManualClock


class CapturingHandler(logging.Handler):
    """Log handler that keeps the decoded lines."""

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(DecisionFormatter("v1"))
        self.lines: list[dict[str, object]] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Decode and keep a line."""
        self.lines.append(json.loads(self.format(record)))


def make_decision_log() -> tuple[DecisionLog, CapturingHandler, ManualClock]:
    clock = ManualClock()
    logger = logging.Logger("tests")
    handler = CapturingHandler()
    logger.addHandler(handler)
    return DecisionLog(clock, logger), handler, clock


def test_line_contains_the_event_and_its_fields() -> None:
    decision_log, handler, _ = make_decision_log()
    decision_log.write("placed", request="id-1", waited_ms=3)
    (line,) = handler.lines
    assert line["event"] == "placed"
    assert (line["vm"], line["request"], line["waited_ms"]) == ("v1", "id-1", 3)


def test_lines_over_the_rate_limit_are_counted_and_reported() -> None:
    decision_log, handler, clock = make_decision_log()
    for _ in range(int(BURST_LINES) + 50):
        decision_log.write("placed")
    assert len(handler.lines) == BURST_LINES
    assert decision_log.total_dropped == 50
    clock.now += 1.0
    decision_log.write("placed")
    assert handler.lines[-1]["lines_dropped"] == 50


def test_slow_reader_does_not_block_the_writer() -> None:
    read_end, write_end = os.pipe()
    try:
        writer = LineWriter(write_end, max_buffered_bytes=200_000)
        for _ in range(3_000):
            writer.write("x" * 99 + "\n")
            writer.flush()
        assert writer.dropped > 0
        os.set_blocking(read_end, False)
        os.read(read_end, 1_000_000)
        before = len(writer.buffer)
        writer.flush()
        assert len(writer.buffer) < before
    finally:
        os.close(read_end)
        os.close(write_end)


def test_closed_pipe_raises_no_error() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = LineWriter(write_end)
    writer.write("line\n")
    writer.flush()
    assert writer.dropped == 1
    os.close(write_end)
