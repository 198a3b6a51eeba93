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
from .once_spec import Attempt, KeyRecordVersion, Phase, specification

LOGGER = logging.getLogger(__name__)

KEY = b"key"
BODY = b"body"
VALID_UNTIL_SECONDS = 5.0
GUARDS = once_spec.ALL_GUARDS

KEY_STATES = {
    "reserved": KeyState.RESERVED,
    "ended": KeyState.ENDED,
    "free": KeyState.ABANDONED,
}
RESERVATION_STATES = {
    Phase.HELD: ReservationState.HELD,
    Phase.SENT: ReservationState.SENT,
    Phase.ABANDONED: ReservationState.ABANDONED,
}


def test_invariants_hold() -> None:
    assert_invariants_hold(specification())


@pytest.mark.parametrize(
    ("guard", "invariant"),
    [
        ("conditional_write", "runs_at_most_once"),
        ("send_window", "runs_at_most_once"),
        ("cleanup_after_send_windows", "runs_at_most_once"),
        ("confirmed_before_sending", "runs_at_most_once"),
        ("refusal_ends_attempt", "not_run_is_accurate"),
        ("abandoned_checked", "abandoned_attempt_blocks_no_other"),
    ],
)
def test_invariant_fails_without_guard(guard: str, invariant: str) -> None:
    assert shortest_violation(
        specification(GUARDS._replace(**{guard: False})), invariant
    )


def test_code_matches_specification() -> None:
    records: set[KeyRecordVersion] = set()
    attempts: set[Attempt] = set()
    for transition in specification().iter_transitions():
        records.update(transition.state.ledger)
        attempts.update(transition.state.attempts)
    LOGGER.info(
        "compared the code with the specification in %s ledger records and %s attempts",
        len(records),
        len(attempts),
    )
    for record in records:
        for attempt in once_spec.ATTEMPTS:
            check_decision(record, attempt)
            check_records(record, attempt)
    for state in attempts:
        check_sending(state)


def check_decision(record: KeyRecordVersion, attempt: int) -> None:
    reservation = Reserved(key=KEY, attempt=_attempt_id(attempt), body=BODY)
    verdict = decide(
        _key_record(record), reservation, abandoned=attempt in record.abandoned
    )
    # A repeated write of the same attempt is granted again.
    if once_spec.may_reserve(record, attempt, GUARDS) or (
        attempt not in record.abandoned and record.attempt == attempt
    ):
        assert verdict.kind is SubmitResultKind.GRANTED
    else:
        assert verdict.kind is not SubmitResultKind.GRANTED


def check_records(record: KeyRecordVersion, attempt: int) -> None:
    attempt_id = _attempt_id(attempt)
    if once_spec.may_reserve(record, attempt, GUARDS):
        result = _apply(record, Reserved(key=KEY, attempt=attempt_id, body=BODY))
        assert result == once_spec.after_reservation(record, attempt)
    if attempt not in record.abandoned:
        end = Ended(key=KEY, attempt=attempt_id, run_state=RunState.RAN, status=200)
        assert _apply(record, end) == once_spec.after_outcome(record, attempt)
    result = _apply(record, Abandoned(key=KEY, attempt=attempt_id))
    assert result == once_spec.after_abandonment(record, attempt)


def check_sending(attempt: Attempt) -> None:
    if attempt.phase not in RESERVATION_STATES:
        return
    reservation = Reservation(
        request=AtMostOnceRequest(customer="c", service="s", key="k", body_digest=BODY),
        attempt_id="",
        valid_until=VALID_UNTIL_SECONDS,
        state=RESERVATION_STATES[attempt.phase],
    )
    now = 0.0 if attempt.in_send_window else VALID_UNTIL_SECONDS
    assert may_send(reservation, now) is once_spec.may_send(attempt, GUARDS)


def _apply(
    record: KeyRecordVersion, ledger_record: Reserved | Ended | Abandoned
) -> KeyRecordVersion:
    key_record = _key_record(record)
    keys = {} if key_record is None else {KEY: key_record}
    abandoned = {_attempt_id(number) for number in record.abandoned}
    apply_record(keys, abandoned, ledger_record)
    numbers = frozenset(int.from_bytes(attempt_id) for attempt_id in abandoned)
    result = keys.get(KEY)
    if result is None or result.state is KeyState.ABANDONED:
        return KeyRecordVersion(abandoned=numbers)
    return KeyRecordVersion(
        attempt=int.from_bytes(result.attempt),
        state=result.state.value,
        abandoned=numbers,
    )


def _key_record(record: KeyRecordVersion) -> KeyRecord | None:
    if record.attempt == once_spec.UNSET:
        return None
    return KeyRecord(
        attempt=_attempt_id(record.attempt), body=BODY, state=KEY_STATES[record.state]
    )


def _attempt_id(attempt: int) -> bytes:
    return attempt.to_bytes(1)
