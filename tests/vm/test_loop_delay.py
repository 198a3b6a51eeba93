"""Tests of the delays of the main loop that operators see."""

from __future__ import annotations

import pytest

from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.vm.loop_delay import LoopDelay
from tests.common import ManualClock


def test_late_loop_is_logged_and_its_longest_delay_told_once() -> None:
    clock = ManualClock()
    log = DecisionLog(clock)
    lines: list[tuple[str, dict[str, object]]] = []
    log.write = lambda event, **fields: lines.append((event, fields))  # type: ignore[method-assign]
    delay = LoopDelay(log)
    for seconds in (0.0, 0.05, 0.1, 0.8, 0.9):
        delay.tick(clock.now + seconds)
    assert lines == [("loop late", {"late_ms": 600})]
    assert delay.take_longest() == pytest.approx(0.6)
    assert delay.take_longest() == 0
