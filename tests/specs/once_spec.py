"""Specification: two attempts to run a request with the same idempotency key.

At most one of them may run. The ledger on the platform records the attempt that has
reserved the key and its outcome. It is modelled as the list of all versions of the
record of the key. Each attempt belongs to a different entry. It reads any version,
since reads may be stale, and writes on condition that this version is current. The
answer to the write may be lost, and the attempt may be abandoned, paused for any time,
or lost in a crash. An attempt may be sent only during its send window, which begins
when the attempt starts.

A write whose answer is lost may be applied late. The ledger is partitioned by key. The
owner of the key's partition, an entry, writes on behalf of other entries and may still
commit a queued reservation long after the sender has abandoned the attempt.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

from .common import Specification, Step

ATTEMPTS: Final = (0, 1)
UNSET: Final = -1
MAX_VERSION: Final = 4


class Phase(StrEnum):
    """Phase of an attempt.

    Attributes
    ----------
    WRITE_UNANSWERED
        The answer to the write of the reservation is delayed or lost.
    HELD
        The attempt holds the reservation of the key.
    ABANDONED
        The attempt was reported as not run and must not be sent any more.
    DEAD
        Lost in a crash, or not started within the retention of the record.
    """

    IDLE = "idle"
    WRITING = "writing"
    WRITE_UNANSWERED = "write unanswered"
    HELD = "held"
    SENT = "sent"
    ABANDONED = "abandoned"
    DUPLICATE = "duplicate"
    DEAD = "dead"


LIVE_PHASES: Final = (
    Phase.IDLE,
    Phase.WRITING,
    Phase.WRITE_UNANSWERED,
    Phase.HELD,
    Phase.SENT,
)


class KeyRecordVersion(NamedTuple):
    """One version of the record of the key.

    ``state`` is "free", "reserved" or "ended"; after its reservation was abandoned, the
    key is free. ``abandoned`` contains the abandoned attempts.
    """

    attempt: int = UNSET
    state: str = "free"
    abandoned: frozenset[int] = frozenset()


class Attempt(NamedTuple):
    """An attempt, with the state that its entry holds for it."""

    phase: Phase = Phase.IDLE
    read_version: int = 0
    delayed_write_version: int = UNSET
    queued_at_owner: bool = False
    started: bool = False
    in_send_window: bool = True
    ran: bool = False
    reported_not_run: bool = False


class State(NamedTuple):
    """All versions of the ledger and all attempts."""

    ledger: tuple[KeyRecordVersion, ...] = (KeyRecordVersion(),)
    attempts: tuple[Attempt, ...] = tuple(Attempt() for _ in ATTEMPTS)


class Guards(NamedTuple):
    """Rules that keep the protocol safe; each one can be disabled.

    Attributes
    ----------
    conditional_write
        The platform applies a write only if the ledger has the expected version.
    send_window
        An attempt is sent only within its send window.
    cleanup_after_send_windows
        The record is removed only after the send windows of all started attempts.
    refusal_ends_attempt
        An attempt that was reported as not run is not sent later.
    abandoned_checked
        The ledger accepts no reservation of an abandoned attempt.
    confirmed_before_sending
        An attempt whose write was not answered is sent only after a read of the ledger
        has shown its reservation.
    """

    conditional_write: bool = True
    send_window: bool = True
    cleanup_after_send_windows: bool = True
    refusal_ends_attempt: bool = True
    abandoned_checked: bool = True
    confirmed_before_sending: bool = True


def may_reserve(record: KeyRecordVersion, attempt: int, guards: Guards) -> bool:
    """Return whether the ledger accepts a reservation."""
    if guards.abandoned_checked and attempt in record.abandoned:
        return False
    return record.state == "free"


def after_reservation(record: KeyRecordVersion, attempt: int) -> KeyRecordVersion:
    """Return the record after a reservation."""
    return record._replace(attempt=attempt, state="reserved")


def after_outcome(record: KeyRecordVersion, attempt: int) -> KeyRecordVersion:
    """Return the record after an outcome was recorded."""
    if record.attempt != attempt or record.state != "reserved":
        return record
    return record._replace(state="ended")


def after_abandonment(record: KeyRecordVersion, attempt: int) -> KeyRecordVersion:
    """Return the record after an attempt was abandoned."""
    abandoned = record.abandoned | {attempt}
    if record.attempt == attempt and record.state == "reserved":
        return KeyRecordVersion(abandoned=abandoned)
    return record._replace(abandoned=abandoned)


def may_send(attempt: Attempt, guards: Guards) -> bool:
    """Return whether an attempt may be sent."""
    if attempt.phase is not Phase.HELD:
        return False
    return attempt.in_send_window or not guards.send_window


ALL_GUARDS: Final = Guards()


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification with the given guards."""
    return Specification(
        name=f"at most once, {_describe_guards(guards)}",
        initial=State(),
        transitions=lambda state: _transitions(state, guards),
        invariants={
            "runs_at_most_once": lambda d: sum(a.ran for a in d["attempts"]) <= 1,
            "not_run_is_accurate": lambda d: (
                not any(a.ran and a.reported_not_run for a in d["attempts"])
            ),
            "abandoned_attempt_blocks_no_other": lambda d: (
                not (
                    d["ledger"][-1].state == "reserved"
                    and d["ledger"][-1].attempt in d["ledger"][-1].abandoned
                )
            ),
        },
    )


def _describe_guards(guards: Guards) -> str:
    disabled = [name for name, enabled in guards._asdict().items() if not enabled]
    return (
        f"disabled guards: {', '.join(disabled)}"
        if disabled
        else "disabled guards: none"
    )


def _transitions(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for number in ATTEMPTS:
        steps += _attempt_steps(state, number, guards)
        steps += _network_steps(state, number, guards)
    return steps + _cleanup_steps(state, guards)


def _replace_attempt(state: State, number: int, **changes: object) -> State:
    attempts = list(state.attempts)
    attempts[number] = attempts[number]._replace(**changes)  # type: ignore[arg-type]
    return state._replace(attempts=tuple(attempts))


def _append_version(state: State, record: KeyRecordVersion) -> State | None:
    """Append a version to the ledger.

    Return ``None`` if the record is unchanged or the ledger has reached
    ``MAX_VERSION``, which bounds the search.
    """
    if len(state.ledger) > MAX_VERSION or record == state.ledger[-1]:
        return None
    return state._replace(ledger=(*state.ledger, record))


def _attempt_steps(state: State, number: int, guards: Guards) -> list[Step]:
    attempt = state.attempts[number]
    name = f"attempt {number}"
    steps: list[Step] = []
    match attempt.phase:
        case Phase.IDLE:
            for version, record in enumerate(state.ledger):
                if may_reserve(record, number, guards):
                    next_state = _replace_attempt(
                        state,
                        number,
                        phase=Phase.WRITING,
                        read_version=version,
                        started=True,
                    )
                    steps.append(
                        (f"{name} writes against version {version}", next_state)
                    )
                elif version == len(state.ledger) - 1:
                    next_state = _replace_attempt(
                        state, number, phase=Phase.DUPLICATE, started=True
                    )
                    steps.append((f"{name} is a duplicate", next_state))
        case Phase.WRITE_UNANSWERED:
            steps += _confirm_write_steps(state, number, guards)
        case Phase.HELD:
            if may_send(attempt, guards):
                # A request that was sent is taken to have run, also if it was lost.
                next_state = _replace_attempt(state, number, phase=Phase.SENT, ran=True)
                steps.append((f"{name} is sent", next_state))
        case Phase.SENT:
            written = _append_version(state, after_outcome(state.ledger[-1], number))
            if written is not None:
                steps.append((f"{name} records the outcome", written))
        case Phase.ABANDONED:
            written = _append_version(
                state, after_abandonment(state.ledger[-1], number)
            )
            if written is not None:
                steps.append((f"{name} records the abandonment", written))
    if attempt.phase in (Phase.WRITE_UNANSWERED, Phase.HELD):
        phase = Phase.ABANDONED if guards.refusal_ends_attempt else attempt.phase
        next_state = _replace_attempt(state, number, phase=phase, reported_not_run=True)
        steps.append((f"{name} is abandoned and reported as not run", next_state))
    if attempt.started and attempt.phase in LIVE_PHASES:
        steps.append(
            (
                f"{name} is lost in a crash",
                _replace_attempt(state, number, phase=Phase.DEAD),
            )
        )
    if attempt.started and attempt.in_send_window:
        next_state = _replace_attempt(state, number, in_send_window=False)
        steps.append((f"send window of {name} expires", next_state))
    return steps


def _confirm_write_steps(state: State, number: int, guards: Guards) -> list[Step]:
    """Decide the result of an unanswered write by a read of the ledger.

    Without ``confirmed_before_sending``, the attempt assumes that its write succeeded.
    """
    attempt = state.attempts[number]
    name = f"attempt {number}"
    if not guards.confirmed_before_sending:
        return [
            (
                f"{name} assumes that its write succeeded",
                _replace_attempt(state, number, phase=Phase.HELD),
            )
        ]
    last = state.ledger[-1]
    if last.attempt == number and last.state == "reserved":
        return [
            (
                f"{name} finds its write applied",
                _replace_attempt(state, number, phase=Phase.HELD),
            )
        ]
    if len(state.ledger) - 1 > attempt.read_version:
        return [
            (f"{name} starts over", _replace_attempt(state, number, phase=Phase.IDLE))
        ]
    return [
        (f"{name} writes again", _replace_attempt(state, number, phase=Phase.WRITING))
    ]


def _network_steps(state: State, number: int, guards: Guards) -> list[Step]:
    attempt = state.attempts[number]
    name = f"attempt {number}"
    steps: list[Step] = []
    if attempt.phase is Phase.WRITING:
        next_state = _replace_attempt(
            state,
            number,
            phase=Phase.WRITE_UNANSWERED,
            delayed_write_version=attempt.read_version,
            queued_at_owner=True,
        )
        steps.append((f"write of {name} is delayed", next_state))
        applied = _apply_write(state, number, attempt.read_version, guards)
        if applied is None:
            next_state = _replace_attempt(state, number, phase=Phase.IDLE)
            steps.append((f"write of {name} conflicts", next_state))
        else:
            next_state = _replace_attempt(applied, number, phase=Phase.HELD)
            steps.append((f"write of {name} is answered", next_state))
            next_state = _replace_attempt(applied, number, phase=Phase.WRITE_UNANSWERED)
            steps.append((f"answer to {name} is lost", next_state))
    if attempt.delayed_write_version != UNSET:
        applied = _apply_write(state, number, attempt.delayed_write_version, guards)
        if applied is not None:
            next_state = _replace_attempt(applied, number, delayed_write_version=UNSET)
            steps.append((f"late write of {name} is applied", next_state))
    if attempt.queued_at_owner and may_reserve(state.ledger[-1], number, guards):
        written = _append_version(state, after_reservation(state.ledger[-1], number))
        if written is not None:
            next_state = _replace_attempt(written, number, queued_at_owner=False)
            steps.append((f"owner commits the request of {name}", next_state))
    return steps


def _apply_write(
    state: State, number: int, read_version: int, guards: Guards
) -> State | None:
    """Return the state after a write is applied, or ``None`` if it is not."""
    if guards.conditional_write and read_version != len(state.ledger) - 1:
        return None
    return _append_version(state, after_reservation(state.ledger[read_version], number))


def _cleanup_steps(state: State, guards: Guards) -> list[Step]:
    """Remove the record at the end of its retention, which exceeds any send window.

    Callers repeat a call only within the retention. An attempt that has not started by
    then never starts.
    """
    last = state.ledger[-1]
    if last.state == "free":
        return []
    in_send_window = any(
        attempt.started and attempt.in_send_window for attempt in state.attempts
    )
    if guards.cleanup_after_send_windows and in_send_window:
        return []
    written = _append_version(state, KeyRecordVersion(abandoned=last.abandoned))
    if written is None:
        return []
    for number, attempt in enumerate(state.attempts):
        if not attempt.started:
            written = _replace_attempt(written, number, phase=Phase.DEAD)
    return [("the record is cleaned up", written)]
