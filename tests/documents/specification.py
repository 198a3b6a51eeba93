"""Specification of documents in force, small enough for an exhaustive search.

Writes are numbered in the order in which the platform accepted them. Any write may be
delivered to any entry at any time and any number of times: as a late watch event, a
stale read or a copy of a peer.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise
from typing import NamedTuple

from minicheck import Protocol

from gypsumsail.documents.const import RECREATION_VERSION_GAP

WRITES = 4
DELETIONS = 2


class State(NamedTuple):
    """State of the object on the platform and of two entries.

    Attributes
    ----------
    versions
        Version of each write, in the order of the writes.
    last_creation
        Number of the write that last created the object.
    first, second
        Number of the write in force on an entry; 0 if there is none.
    reverted
        Whether an entry reverted to an earlier write without a restart.
    """

    object_version: int = 0
    base: int = 0
    deletions: int = 0
    versions: tuple[int, ...] = ()
    last_creation: int = 0
    first: int = 0
    second: int = 0
    reverted: bool = False


Step = tuple[str, State]


class Guards(NamedTuple):
    """Guards and assumptions of the protocol.

    Tests disable each one to show that it is needed.

    Attributes
    ----------
    only_newer
        An entry accepts only a version above the one in force.
    base
        A write keeps the offset and raises it to the highest version in force.
    gap
        An object that is created again skips ``RECREATION_VERSION_GAP`` versions.
    creation_in_force
        Assumption that ``plan_write`` does not check: a deleted object is created
        again only while a version from its last creation or later is in force on an
        entry.
    """

    only_newer: bool = True
    base: bool = True
    gap: bool = True
    creation_in_force: bool = True


def protocol(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="documents in force",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(steps(State(*state), guards)),
        invariants={
            "never reverts": lambda values: not values["reverted"],
            "later writes are higher": lambda values: _is_increasing(
                values["versions"]
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Return the possible next steps."""
    if may_write(state, guards):
        yield "write", _write(state, guards)
    if state.object_version and state.deletions < DELETIONS:
        yield (
            "delete",
            state._replace(object_version=0, base=0, deletions=state.deletions + 1),
        )
    for entry in ("first", "second"):
        yield f"restart {entry}", _set(state, entry, 0)
        for number in range(1, len(state.versions) + 1):
            yield f"deliver {number} {entry}", _deliver(state, entry, number, guards)


def highest_in_force_of(state: State) -> int:
    """Return the highest version in force on any entry."""
    known = (state.first, state.second)
    return max((state.versions[number - 1] for number in known if number), default=0)


def may_write(state: State, guards: Guards) -> bool:
    """Return whether an operator may write.

    A deleted object may be created again only if an entry has a version in force that
    is not older than the last creation of the object.
    """
    if len(state.versions) == WRITES:
        return False
    if not guards.creation_in_force or state.object_version or not state.versions:
        return True
    return highest_in_force_of(state) >= state.versions[state.last_creation - 1]


def _write(state: State, guards: Guards) -> State:
    highest_in_force = highest_in_force_of(state) if guards.base else 0
    base = max(state.base, highest_in_force - state.object_version)
    if guards.gap and highest_in_force and not state.object_version:
        base += RECREATION_VERSION_GAP
    version = state.object_version + 1
    versions = (*state.versions, base + version)
    return state._replace(
        object_version=version,
        base=base,
        versions=versions,
        last_creation=state.last_creation if state.object_version else len(versions),
    )


def _deliver(state: State, entry: str, number: int, guards: Guards) -> State:
    current: int = getattr(state, entry)
    known = state.versions[current - 1] if current else 0
    if guards.only_newer and state.versions[number - 1] <= known:
        return state
    reverted = state.reverted or number < current
    return _set(state, entry, number)._replace(reverted=reverted)


def _set(state: State, entry: str, number: int) -> State:
    if entry == "first":
        return state._replace(first=number)
    return state._replace(second=number)


def _is_increasing(versions: tuple[int, ...]) -> bool:
    return all(one < two for one, two in pairwise(versions))
