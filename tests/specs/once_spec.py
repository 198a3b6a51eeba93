"""Specification: two attempts of one key, of which at most one may run.

The ledger is the list of all versions of what it says about the key. Each attempt
belongs to an entry of its own, reads any version (reads may be stale), writes under
the version it read, may lose the answer, may be refused, may freeze for any time
and may die. The right to send counts from the start of an attempt. A write whose
answer is lost may arrive late, and an owner may commit an attempt that its entry has
refused long ago.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

from .common import Specification, Step

ATTEMPTS: Final = (0, 1)
NOBODY: Final = -1
LAST_VERSION: Final = 4


class Phase(StrEnum):
    """Where an attempt is."""

    IDLE = "idle"
    WRITING = "writing"
    UNKNOWN = "unknown"
    HELD = "held"
    SENT = "sent"
    REFUSED = "refused"
    DUPLICATE = "duplicate"
    DEAD = "dead"


LIVE_PHASES: Final = (Phase.IDLE, Phase.WRITING, Phase.UNKNOWN, Phase.HELD, Phase.SENT)


class Key(NamedTuple):
    """What one version of the ledger says about the key."""

    attempt: int = NOBODY
    state: str = "free"
    given_up: frozenset[int] = frozenset()


class Attempt(NamedTuple):
    """One attempt and its entry."""

    phase: Phase = Phase.IDLE
    read: int = 0
    late: int = NOBODY
    queued: bool = False
    started: bool = False
    fresh: bool = True
    ran: bool = False
    not_run: bool = False


class State(NamedTuple):
    """All versions of the ledger, and the attempts."""

    ledger: tuple[Key, ...] = (Key(),)
    attempts: tuple[Attempt, ...] = tuple(Attempt() for _ in ATTEMPTS)


class Guards(NamedTuple):
    """What keeps the protocol safe; each can be taken away."""

    conditional_write: bool = True
    send_window: bool = True
    late_clean_up: bool = True
    exclusive_refusal: bool = True
    given_up_checked: bool = True
    confirmed_before_sending: bool = True


def may_reserve(key: Key, attempt: int, guards: Guards) -> bool:
    """Return whether the ledger takes a reservation."""
    if guards.given_up_checked and attempt in key.given_up:
        return False
    return key.state == "free"


def reserved(key: Key, attempt: int) -> Key:
    """Return what the ledger says after a reservation."""
    return key._replace(attempt=attempt, state="reserved")


def ended(key: Key, attempt: int) -> Key:
    """Return what the ledger says after an outcome."""
    if key.attempt != attempt or key.state != "reserved":
        return key
    return key._replace(state="ended")


def abandoned(key: Key, attempt: int) -> Key:
    """Return what the ledger says after an attempt was given up."""
    given_up = key.given_up | {attempt}
    if key.attempt == attempt and key.state == "reserved":
        return Key(given_up=given_up)
    return key._replace(given_up=given_up)


def may_send(attempt: Attempt, guards: Guards) -> bool:
    """Return whether an attempt may be sent."""
    if attempt.phase is not Phase.HELD:
        return False
    return attempt.fresh or not guards.send_window


ALL_GUARDS: Final = Guards()


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification with some guards."""
    return Specification(
        name=f"at most once {_missing(guards)}",
        initial=State(),
        transitions=lambda state: _transitions(state, guards),
        invariants={
            "runs_at_most_once": lambda d: sum(a.ran for a in d["attempts"]) <= 1,
            "not_run_is_true": lambda d: (
                not any(a.ran and a.not_run for a in d["attempts"])
            ),
            "given_up_blocks_nobody": lambda d: (
                not (
                    d["ledger"][-1].state == "reserved"
                    and d["ledger"][-1].attempt in d["ledger"][-1].given_up
                )
            ),
        },
    )


def _missing(guards: Guards) -> str:
    missing = [name for name, held in guards._asdict().items() if not held]
    return f"without {', '.join(missing)}" if missing else "with all guards"


def _transitions(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for number in ATTEMPTS:
        steps += _entry_steps(state, number, guards)
        steps += _network_steps(state, number, guards)
    return steps + _clean_up(state, guards)


def _with(state: State, number: int, **changes: object) -> State:
    attempts = list(state.attempts)
    attempts[number] = attempts[number]._replace(**changes)  # type: ignore[arg-type]
    return state._replace(attempts=tuple(attempts))


def _append(state: State, key: Key) -> State | None:
    """Add a version that says something new; their number bounds the search."""
    if len(state.ledger) > LAST_VERSION or key == state.ledger[-1]:
        return None
    return state._replace(ledger=(*state.ledger, key))


def _entry_steps(state: State, number: int, guards: Guards) -> list[Step]:
    mine = state.attempts[number]
    name = f"entry {number}"
    steps: list[Step] = []
    match mine.phase:
        case Phase.IDLE:
            for version, key in enumerate(state.ledger):
                if may_reserve(key, number, guards):
                    following = _with(
                        state, number, phase=Phase.WRITING, read=version, started=True
                    )
                    steps.append((f"{name} writes on {version}", following))
                elif version == len(state.ledger) - 1:
                    following = _with(
                        state, number, phase=Phase.DUPLICATE, started=True
                    )
                    steps.append((f"{name} sees a duplicate", following))
        case Phase.UNKNOWN:
            steps += _read_back(state, number, guards)
        case Phase.HELD:
            if may_send(mine, guards):
                following = _with(state, number, phase=Phase.SENT, ran=True)
                steps.append((f"{name} sends", following))
        case Phase.SENT:
            written = _append(state, ended(state.ledger[-1], number))
            if written is not None:
                steps.append((f"{name} records the end", written))
        case Phase.REFUSED:
            written = _append(state, abandoned(state.ledger[-1], number))
            if written is not None:
                steps.append((f"{name} records giving up", written))
    if mine.phase in (Phase.UNKNOWN, Phase.HELD):
        phase = Phase.REFUSED if guards.exclusive_refusal else mine.phase
        following = _with(state, number, phase=phase, not_run=True)
        steps.append((f"{name} refuses as not run", following))
    if mine.started and mine.phase in LIVE_PHASES:
        steps.append((f"{name} dies", _with(state, number, phase=Phase.DEAD)))
    if mine.started and mine.fresh:
        following = _with(state, number, fresh=False)
        steps.append((f"the window of {name} passes", following))
    return steps


def _read_back(state: State, number: int, guards: Guards) -> list[Step]:
    """Decide an unanswered write by what the ledger shows."""
    mine = state.attempts[number]
    name = f"entry {number}"
    if not guards.confirmed_before_sending:
        return [(f"{name} assumes its write", _with(state, number, phase=Phase.HELD))]
    last = state.ledger[-1]
    if last.attempt == number and last.state == "reserved":
        return [(f"{name} reads back", _with(state, number, phase=Phase.HELD))]
    if len(state.ledger) - 1 > mine.read:
        return [(f"{name} tries again", _with(state, number, phase=Phase.IDLE))]
    return [(f"{name} writes again", _with(state, number, phase=Phase.WRITING))]


def _network_steps(state: State, number: int, guards: Guards) -> list[Step]:
    mine = state.attempts[number]
    name = f"entry {number}"
    steps: list[Step] = []
    if mine.phase is Phase.WRITING:
        following = _with(
            state, number, phase=Phase.UNKNOWN, late=mine.read, queued=True
        )
        steps.append((f"write of {name} is delayed", following))
        landed = _land(state, number, mine.read, guards)
        if landed is None:
            following = _with(state, number, phase=Phase.IDLE)
            steps.append((f"write of {name} conflicts", following))
        else:
            following = _with(landed, number, phase=Phase.HELD)
            steps.append((f"write of {name} is answered", following))
            following = _with(landed, number, phase=Phase.UNKNOWN)
            steps.append((f"answer to {name} is lost", following))
    if mine.late != NOBODY:
        landed = _land(state, number, mine.late, guards)
        if landed is not None:
            following = _with(landed, number, late=NOBODY)
            steps.append((f"late write of {name} arrives", following))
    if mine.queued and may_reserve(state.ledger[-1], number, guards):
        written = _append(state, reserved(state.ledger[-1], number))
        if written is not None:
            following = _with(written, number, queued=False)
            steps.append((f"owner commits what {name} asked", following))
    return steps


def _land(state: State, number: int, read: int, guards: Guards) -> State | None:
    """Return the state after a write arrived; ``None`` when it conflicts."""
    if guards.conditional_write and read != len(state.ledger) - 1:
        return None
    return _append(state, reserved(state.ledger[read], number))


def _clean_up(state: State, guards: Guards) -> list[Step]:
    """Drop the record when its retention, longer than any window, is over.

    Callers come again within the retention only: who has not come by then does not
    come any more.
    """
    last = state.ledger[-1]
    if last.state == "free":
        return []
    fresh = any(mine.started and mine.fresh for mine in state.attempts)
    if guards.late_clean_up and fresh:
        return []
    written = _append(state, Key(given_up=last.given_up))
    if written is None:
        return []
    for number, mine in enumerate(state.attempts):
        if not mine.started:
            written = _with(written, number, phase=Phase.DEAD)
    return [("the record is cleaned up", written)]
