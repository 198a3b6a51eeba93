"""Tests of the at-most-once specification and of the code against it."""

from __future__ import annotations

import logging

import pytest

from gypsumsail.core.errors import RunState
from gypsumsail.once.ledger import (
    KeyRecord,
    KeyState,
    SubmitResultKind,
    apply_record,
    decide,
)
from gypsumsail.once.models import (
    AtMostOnceRequest,
    Reservation,
    ReservationState,
    may_send,
)
from gypsumsail.once.records import Abandoned, Ended, Reserved

from . import once_spec
from .common import assert_invariants_hold, shortest_violation
from .once_spec import Attempt, KeySnapshot, Phase, specification

LOGGER = logging.getLogger(__name__)

KEY = b"key"
BODY = b"body"
VALID_UNTIL = 5.0
GUARDS = once_spec.ALL_GUARDS

STATES = {
    "reserved": KeyState.RESERVED,
    "ended": KeyState.ENDED,
    "free": KeyState.ABANDONED,
}
PHASES = {
    Phase.HELD: ReservationState.HELD,
    Phase.SENT: ReservationState.SENT,
    Phase.REFUSED: ReservationState.ABANDONED,
}


def test_at_most_one_attempt_runs() -> None:
    assert_invariants_hold(specification())


@pytest.mark.parametrize(
    ("guard", "invariant"),
    [
        ("conditional_write", "runs_at_most_once"),
        ("send_window", "runs_at_most_once"),
        ("late_cleanup", "runs_at_most_once"),
        ("confirmed_before_sending", "runs_at_most_once"),
        ("exclusive_refusal", "not_run_is_accurate"),
        ("abandoned_checked", "abandoned_attempt_blocks_no_other"),
    ],
)
def test_invariant_fails_without_guard(guard: str, invariant: str) -> None:
    assert shortest_violation(
        specification(GUARDS._replace(**{guard: False})), invariant
    )


def test_code_matches_specification() -> None:
    keys: set[KeySnapshot] = set()
    attempts: set[Attempt] = set()
    for transition in specification().iter_transitions():
        keys.update(transition.state.ledger)
        attempts.update(transition.state.attempts)
    LOGGER.info(
        "replayed %s ledger records and %s attempt states", len(keys), len(attempts)
    )
    for key in keys:
        for attempt in once_spec.ATTEMPTS:
            check_decision(key, attempt)
            check_records(key, attempt)
    for state in attempts:
        check_sending(state)


def check_decision(key: KeySnapshot, attempt: int) -> None:
    entry = Reserved(key=KEY, attempt=_name(attempt), body=BODY)
    verdict = decide(_record(key), entry, abandoned=attempt in key.abandoned)
    if once_spec.may_reserve(key, attempt, GUARDS) or (
        attempt not in key.abandoned and key.attempt == attempt
    ):
        assert verdict.kind is SubmitResultKind.GRANTED
    else:
        assert verdict.kind is not SubmitResultKind.GRANTED


def check_records(key: KeySnapshot, attempt: int) -> None:
    name = _name(attempt)
    if once_spec.may_reserve(key, attempt, GUARDS):
        result = _apply(key, Reserved(key=KEY, attempt=name, body=BODY))
        assert result == once_spec.after_reservation(key, attempt)
    if attempt not in key.abandoned:
        end = Ended(key=KEY, attempt=name, run_state=RunState.RAN, status=200)
        assert _apply(key, end) == once_spec.after_outcome(key, attempt)
    result = _apply(key, Abandoned(key=KEY, attempt=name))
    assert result == once_spec.after_abandonment(key, attempt)


def check_sending(attempt: Attempt) -> None:
    if attempt.phase not in PHASES:
        return
    reservation = Reservation(
        request=AtMostOnceRequest(customer="c", service="s", key="k", body_digest=BODY),
        attempt_id="",
        valid_until=VALID_UNTIL,
        state=PHASES[attempt.phase],
    )
    now = 0.0 if attempt.in_send_window else VALID_UNTIL
    assert may_send(reservation, now) is once_spec.may_send(attempt, GUARDS)


def _apply(key: KeySnapshot, entry: Reserved | Ended | Abandoned) -> KeySnapshot:
    record = _record(key)
    keys = {} if record is None else {KEY: record}
    given_up = {_name(number) for number in key.abandoned}
    apply_record(keys, given_up, entry)
    numbers = frozenset(int.from_bytes(name) for name in given_up)
    result = keys.get(KEY)
    if result is None or result.state is KeyState.ABANDONED:
        return KeySnapshot(abandoned=numbers)
    return KeySnapshot(
        attempt=int.from_bytes(result.attempt),
        state=result.state.value,
        abandoned=numbers,
    )


def _record(key: KeySnapshot) -> KeyRecord | None:
    if key.attempt == once_spec.UNSET:
        return None
    return KeyRecord(attempt=_name(key.attempt), body=BODY, state=STATES[key.state])


def _name(attempt: int) -> bytes:
    return attempt.to_bytes(1)
