"""Specification: documents of one service, on the platform and in two entries.

An entry may receive any version that was ever written, at any time and any number of
times: in a late watch event, by a stale read, or as a copy from another entry. The
object may be deleted and created again, which restarts its object version at one. An
entry loses its documents when it restarts.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from gypsumsail.documents.const import RECREATION_VERSION_GAP

from .common import Specification, Step

ENTRIES: Final = (0, 1)
NO_DOCUMENT: Final = -1
MAX_WRITES: Final = 4
VERSION_GAP: Final = RECREATION_VERSION_GAP


class Stored(NamedTuple):
    """The platform's object.

    ``object_version`` is the platform's version of the object, 0 if the object does not
    exist. The version of the document is ``base`` plus ``object_version``.
    """

    base: int = 0
    object_version: int = 0


class State(NamedTuple):
    """All versions ever written, in the order of the writes, and those in force.

    ``written`` holds document versions and ``in_force`` holds indexes into it, one for
    each entry. ``first_version`` is the first document version of the latest object.
    """

    stored: Stored = Stored()
    first_version: int = 0
    written: tuple[int, ...] = ()
    in_force: tuple[int, ...] = (NO_DOCUMENT,) * len(ENTRIES)
    reverted: bool = False
    newest_rejected: bool = False


class Guards(NamedTuple):
    """Rules that keep documents from reverting; each one can be disabled.

    Attributes
    ----------
    gate
        An entry accepts only a version that is higher than the one in force.
    base_continues
        The command line derives the base of a created object from the highest version
        in force on the entries that it asks.
    gap
        The base exceeds that version by a gap, so that new versions are also above
        earlier writes that none of these entries has in force.
    deleted_object_visible
        Assumption, not a rule: unless it is the first object, at least one of these
        entries has a version of the last deleted object in force.
    """

    gate: bool = True
    base_continues: bool = True
    gap: bool = True
    deleted_object_visible: bool = True


ALL_GUARDS: Final = Guards()


def is_accepted(version: int, in_force: int, guards: Guards) -> bool:
    """Return whether a version replaces the one in force, which is 0 for none."""
    return version > in_force or not guards.gate


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification with the given guards."""
    disabled = [name for name, enabled in guards._asdict().items() if not enabled]
    return Specification(
        name=f"documents, disabled guards: {', '.join(disabled) or 'none'}",
        initial=State(),
        transitions=lambda state: _transitions(state, guards),
        invariants={
            "never_reverts": lambda d: not d["reverted"],
            "newest_is_accepted": lambda d: not d["newest_rejected"],
        },
    )


def version_in_force(state: State, entry: int) -> int:
    """Return the version in force on an entry; 0 for none."""
    index = state.in_force[entry]
    return 0 if index == NO_DOCUMENT else state.written[index]


def highest_in_force(state: State) -> int:
    """Return the highest version in force on any entry."""
    return max(version_in_force(state, entry) for entry in ENTRIES)


def _transitions(state: State, guards: Guards) -> list[Step]:
    steps = _operator_steps(state, guards)
    for entry in ENTRIES:
        if state.in_force[entry] != NO_DOCUMENT:
            steps.append(
                (f"entry {entry} restarts", _set_in_force(state, entry, NO_DOCUMENT))
            )
        for index in range(len(state.written)):
            next_state = _receive(state, entry, index, guards)
            steps.append((f"entry {entry} receives write {index}", next_state))
    return steps


def _operator_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    if len(state.written) < MAX_WRITES:
        stored = state.stored
        if stored.object_version == 0:
            highest = highest_in_force(state)
            if (
                state.written
                and highest < state.first_version
                and guards.deleted_object_visible
            ):
                return steps
            stored = Stored(base=_base_version(highest, guards))
        stored = stored._replace(object_version=stored.object_version + 1)
        written = (*state.written, stored.base + stored.object_version)
        next_state = state._replace(
            stored=stored, written=written, first_version=stored.base + 1
        )
        steps.append(("an operator applies", next_state))
    if state.stored.object_version > 0:
        steps.append(("the object is deleted", state._replace(stored=Stored())))
    return steps


def _base_version(highest: int, guards: Guards) -> int:
    if highest == 0 or not guards.base_continues:
        return 0
    return highest + VERSION_GAP if guards.gap else highest


def _receive(state: State, entry: int, index: int, guards: Guards) -> State:
    version = state.written[index]
    before = state.in_force[entry]
    next_state = state
    if is_accepted(version, version_in_force(state, entry), guards):
        next_state = _set_in_force(state, entry, index)
        if index < before:
            next_state = next_state._replace(reverted=True)
    newest = len(state.written) - 1
    if index == newest and next_state.in_force[entry] != newest:
        next_state = next_state._replace(newest_rejected=True)
    return next_state


def _set_in_force(state: State, entry: int, index: int) -> State:
    in_force = list(state.in_force)
    in_force[entry] = index
    return state._replace(in_force=tuple(in_force))
