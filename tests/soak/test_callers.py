"""Tests of the soak's checks of answers."""

from __future__ import annotations

import pytest

from soak.callers import CallResult, check_result
from stand_ins.v1_platform import ExecutionLog, RequestContent


@pytest.mark.parametrize(
    ("kind", "is_found"), [("once", True), ("safe", False), ("stream", False)]
)
def test_second_run_of_a_call_that_may_not_be_repeated_is_found(
    kind: str, is_found: bool
) -> None:
    log = ExecutionLog()
    for target in ("p0", "p1"):
        log.record_start("aa", target, "a", RequestContent.of("GET", "/x", b""))
    findings = check_result(CallResult("aa", kind, 502), log)
    assert findings == (["once aa: TWICE: ran 2 times"] if is_found else [])
