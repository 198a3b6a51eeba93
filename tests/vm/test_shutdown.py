"""Tests of readiness and shutdown."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gypsumsail.vm.readiness import Readiness
from gypsumsail.vm.shutdown import accepts_requests, latest_exit, may_exit

EXIT = latest_exit(0.0, 8.0)


READY = Readiness(
    has_document=True, knows_targets=True, knows_evacuations=True, is_stopping=False
)


def test_vm_is_ready_with_all_copies() -> None:
    assert READY.is_ready


@pytest.mark.parametrize(
    "change",
    [
        {"has_document": False},
        {"knows_targets": False},
        {"knows_evacuations": False},
        {"is_stopping": True},
    ],
)
def test_vm_is_not_ready_when_a_condition_fails(change: dict[str, bool]) -> None:
    assert not replace(READY, **change).is_ready


def test_requests_are_accepted_during_the_balancer_notice_period() -> None:
    assert accepts_requests(None, 100.0)
    assert accepts_requests(100.0, 102.0)
    assert not accepts_requests(100.0, 103.0)


def test_accepted_request_keeps_most_of_the_grace_period() -> None:
    """Guard against accepting a request too late to answer it.

    A request was accepted 3.6 s after the stop signal and cut off at the end of the
    grace period.
    """
    first_refused_at = next(
        step / 10 for step in range(100) if not accepts_requests(0.0, step / 10)
    )
    assert first_refused_at <= 3.0
    assert not may_exit(0.0, 1, EXIT, 7.5)


def test_process_exits_once_idle_or_at_the_end_of_the_grace_period() -> None:
    assert not may_exit(0.0, 0, EXIT, 1.0)
    assert may_exit(0.0, 0, EXIT, 3.0)
    assert not may_exit(0.0, 1, EXIT, 3.0)
    assert may_exit(0.0, 1, EXIT, 7.7)
