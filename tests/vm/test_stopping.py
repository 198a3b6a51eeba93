"""Tests of readiness and of the stop."""

from __future__ import annotations

import pytest

from gypsumsail.vm.readiness import Readiness
from gypsumsail.vm.stopping import may_end, takes_requests

GRACE = 8.0


def test_a_vm_is_ready_when_it_knows_what_to_serve() -> None:
    assert Readiness(has_document=True, knows_targets=True, is_stopping=False).is_ready


@pytest.mark.parametrize(
    "facts", [(False, True, False), (True, False, False), (True, True, True)]
)
def test_a_vm_is_not_ready_else(facts: tuple[bool, bool, bool]) -> None:
    has_document, knows_targets, is_stopping = facts
    readiness = Readiness(
        has_document=has_document, knows_targets=knows_targets, is_stopping=is_stopping
    )
    assert not readiness.is_ready


def test_requests_are_served_until_the_balancer_has_noticed() -> None:
    assert takes_requests(None, 100.0)
    assert takes_requests(100.0, 102.0)
    assert not takes_requests(100.0, 103.0)


def test_a_request_that_is_taken_has_most_of_the_grace() -> None:
    """A request was taken 3.6 s after the signal and cut at the end of the grace."""
    taken_last = next(
        step / 10 for step in range(100) if not takes_requests(0.0, step / 10)
    )
    assert taken_last <= 3.0
    assert not may_end(0.0, 1, GRACE, GRACE - 0.5)


def test_the_process_ends_when_all_is_answered() -> None:
    assert not may_end(0.0, 0, GRACE, 1.0)
    assert may_end(0.0, 0, GRACE, 3.0)
    assert not may_end(0.0, 1, GRACE, 3.0)
    assert may_end(0.0, 1, GRACE, 7.7)
