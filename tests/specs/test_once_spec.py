"""Checks at most once, and ties its specification to the code."""

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
from .common import assert_holds, shortest_fault
from .once_spec import Attempt, Key, Phase, specification

LOGGER = logging.getLogger(__name__)

KEY = b"key"
BODY = b"body"
GOOD_UNTIL = 5.0
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
    assert_holds(specification())


@pytest.mark.parametrize(
    ("guard", "invariant"),
    [
        ("conditional_write", "runs_at_most_once"),
        ("send_window", "runs_at_most_once"),
        ("late_clean_up", "runs_at_most_once"),
        ("confirmed_before_sending", "runs_at_most_once"),
        ("exclusive_refusal", "not_run_is_true"),
        ("given_up_checked", "given_up_blocks_nobody"),
    ],
)
def test_fault_shows_without_its_guard(guard: str, invariant: str) -> None:
    assert shortest_fault(specification(GUARDS._replace(**{guard: False})), invariant)


def test_code_takes_the_steps_of_the_specification() -> None:
    keys: set[Key] = set()
    attempts: set[Attempt] = set()
    for move in specification().moves():
        keys.update(move.state.ledger)
        attempts.update(move.state.attempts)
    LOGGER.info("%s ledger, %s attempt states replayed", len(keys), len(attempts))
    for key in keys:
        for attempt in once_spec.ATTEMPTS:
            check_decision(key, attempt)
            check_entries(key, attempt)
    for state in attempts:
        check_sending(state)


def check_decision(key: Key, attempt: int) -> None:
    entry = Reserved(key=KEY, attempt=_name(attempt), body=BODY)
    verdict = decide(_record(key), entry, abandoned=attempt in key.given_up)
    if once_spec.may_reserve(key, attempt, GUARDS) or (
        attempt not in key.given_up and key.attempt == attempt
    ):
        assert verdict.kind is SubmitResultKind.GRANTED
    else:
        assert verdict.kind is not SubmitResultKind.GRANTED


def check_entries(key: Key, attempt: int) -> None:
    name = _name(attempt)
    if once_spec.may_reserve(key, attempt, GUARDS):
        made = _apply(key, Reserved(key=KEY, attempt=name, body=BODY))
        assert made == once_spec.reserved(key, attempt)
    if attempt not in key.given_up:
        end = Ended(key=KEY, attempt=name, run_state=RunState.RAN, status=200)
        assert _apply(key, end) == once_spec.ended(key, attempt)
    made = _apply(key, Abandoned(key=KEY, attempt=name))
    assert made == once_spec.abandoned(key, attempt)


def check_sending(attempt: Attempt) -> None:
    if attempt.phase not in PHASES:
        return
    reservation = Reservation(
        request=AtMostOnceRequest(customer="c", service="s", key="k", body_digest=BODY),
        attempt_id="",
        valid_until=GOOD_UNTIL,
        state=PHASES[attempt.phase],
    )
    now = 0.0 if attempt.fresh else GOOD_UNTIL
    assert may_send(reservation, now) is once_spec.may_send(attempt, GUARDS)


def _apply(key: Key, entry: Reserved | Ended | Abandoned) -> Key:
    record = _record(key)
    keys = {} if record is None else {KEY: record}
    given_up = {_name(number) for number in key.given_up}
    apply_record(keys, given_up, entry)
    numbers = frozenset(int.from_bytes(name) for name in given_up)
    made = keys.get(KEY)
    if made is None or made.state is KeyState.ABANDONED:
        return Key(given_up=numbers)
    return Key(
        attempt=int.from_bytes(made.attempt), state=made.state.value, given_up=numbers
    )


def _record(key: Key) -> KeyRecord | None:
    if key.attempt == once_spec.NOBODY:
        return None
    return KeyRecord(attempt=_name(key.attempt), body=BODY, state=STATES[key.state])


def _name(attempt: int) -> bytes:
    return attempt.to_bytes(1)
