"""Specification: documents of one service, on the platform and in two entries.

Whatever was ever written may reach an entry at any time and any number of times: as a
late watch event, by a stale read, or as the copy of another entry. The object may be
deleted and made again, and its own version then restarts at one. Entries restart and
know nothing then.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from gypsumsail.documents.const import RECREATION_VERSION_GAP

from .common import Specification, Step

ENTRIES: Final = (0, 1)
NOTHING: Final = -1
LAST_WRITE: Final = 4
GAP: Final = RECREATION_VERSION_GAP


class Stored(NamedTuple):
    """The platform's object; its own version is 0 when it does not exist."""

    base: int = 0
    version: int = 0


class State(NamedTuple):
    """All that was ever written, by its order, and what is in force.

    ``in_force`` holds places in ``written``, which holds the versions that order
    documents. ``life`` is the first version of the last object.
    """

    stored: Stored = Stored()
    life: int = 0
    written: tuple[int, ...] = ()
    in_force: tuple[int, ...] = (NOTHING,) * len(ENTRIES)
    reverted: bool = False
    missed: bool = False


class Guards(NamedTuple):
    """What keeps documents from reverting; each can be taken away.

    The command line takes the base of a new object from what is in force on the
    entries it asks, and leaves a gap above it. ``floor_is_seen`` says that some
    version of the object that was deleted had come into force on one of them.
    """

    gate: bool = True
    base_goes_on: bool = True
    gap: bool = True
    floor_is_seen: bool = True


ALL_GUARDS: Final = Guards()


def comes_into_force(version: int, in_force: int, guards: Guards) -> bool:
    """Return whether a version replaces the one in force; 0 for none."""
    return version > in_force or not guards.gate


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification with some guards."""
    missing = [name for name, held in guards._asdict().items() if not held]
    return Specification(
        name=f"documents without {', '.join(missing) or 'nothing'}",
        initial=State(),
        transitions=lambda state: _transitions(state, guards),
        invariants={
            "never_reverts": lambda d: not d["reverted"],
            "newest_is_taken": lambda d: not d["missed"],
        },
    )


def version_in_force(state: State, entry: int) -> int:
    """Return the version in force on an entry; 0 for none."""
    place = state.in_force[entry]
    return 0 if place == NOTHING else state.written[place]


def floor(state: State) -> int:
    """Return the highest version in force on the entries that were asked."""
    return max(version_in_force(state, entry) for entry in ENTRIES)


def _transitions(state: State, guards: Guards) -> list[Step]:
    steps = _operator_steps(state, guards)
    for entry in ENTRIES:
        if state.in_force[entry] != NOTHING:
            steps.append((f"entry {entry} restarts", _put(state, entry, NOTHING)))
        for place in range(len(state.written)):
            following = _receive(state, entry, place, guards)
            steps.append((f"entry {entry} receives {place}", following))
    return steps


def _operator_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    if len(state.written) < LAST_WRITE:
        stored = state.stored
        if stored.version == 0:
            lowest = floor(state)
            if state.written and lowest < state.life and guards.floor_is_seen:
                return steps
            stored = Stored(base=_base(lowest, guards))
        stored = stored._replace(version=stored.version + 1)
        written = (*state.written, stored.base + stored.version)
        following = state._replace(stored=stored, written=written, life=stored.base + 1)
        steps.append(("an operator applies", following))
    if state.stored.version > 0:
        steps.append(("the object is deleted", state._replace(stored=Stored())))
    return steps


def _base(lowest: int, guards: Guards) -> int:
    if lowest == 0 or not guards.base_goes_on:
        return 0
    return lowest + GAP if guards.gap else lowest


def _receive(state: State, entry: int, place: int, guards: Guards) -> State:
    version = state.written[place]
    before = state.in_force[entry]
    following = state
    if comes_into_force(version, version_in_force(state, entry), guards):
        following = _put(state, entry, place)
        if place < before:
            following = following._replace(reverted=True)
    newest = len(state.written) - 1
    if place == newest and following.in_force[entry] != newest:
        following = following._replace(missed=True)
    return following


def _put(state: State, entry: int, place: int) -> State:
    in_force = list(state.in_force)
    in_force[entry] = place
    return state._replace(in_force=tuple(in_force))
