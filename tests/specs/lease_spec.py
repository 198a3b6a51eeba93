"""Specification: two entries that want one lease, and their orders to a target.

Time passes at any moment, in steps, for all alike: an entry may pause between any two
steps. Times are kept as ages and as what is left, so that the search has no last
moment. A write lands some time after it was sent, and its answer may come late or
never.
"""

from __future__ import annotations

from typing import Any, Final, NamedTuple

from .common import Specification, Step

ENTRIES: Final = (0, 1)
NOBODY: Final = -1
LEASE: Final = 3
MARGIN: Final = 1
LAST_VERSION: Final = 3


class Write(NamedTuple):
    """A write of the lease on its way, sent ``age`` ago."""

    if_version: int
    fence: int
    age: int = 0
    landed_as: int = 0


class Entry(NamedTuple):
    """One entry.

    ``version`` is that of the lease it holds, or 0; ``good_for`` the time that is
    left for orders. ``seen`` is the version it last read and ``waited`` the time
    since it first did; ``late`` is a write that it has stopped waiting for.
    """

    version: int = 0
    fence: int = 0
    good_for: int = 0
    seen: int = NOBODY
    seen_holder: int = NOBODY
    seen_fence: int = 0
    waited: int = 0
    write: Write | None = None
    late: Write | None = None


class State(NamedTuple):
    """The platform's lease and the entries."""

    version: int = 0
    holder: int = NOBODY
    fence: int = 0
    entries: tuple[Entry, ...] = tuple(Entry() for _ in ENTRIES)


class Guards(NamedTuple):
    """What keeps the protocol safe; each can be taken away."""

    counted_from_before: bool = True
    waits_whole_lease: bool = True
    conditional_write: bool = True
    answer_needed: bool = True


ALL_GUARDS: Final = Guards()


def may_order(entry: Entry) -> bool:
    """Return whether an entry may send orders."""
    return entry.version > 0 and entry.good_for > 0


def may_take(entry: Entry, number: int, guards: Guards) -> bool:
    """Return whether an entry that holds nothing writes the lease."""
    if entry.seen_holder in (NOBODY, number) or not guards.waits_whole_lease:
        return True
    return entry.waited >= LEASE


def next_fence(entry: Entry, number: int) -> int:
    """Return the fencing number that an entry writes when it takes the lease."""
    return entry.seen_fence if entry.seen_holder == number else entry.seen_fence + 1


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification with some guards."""
    missing = [name for name, held in guards._asdict().items() if not held]
    return Specification(
        name=f"lease without {', '.join(missing) or 'nothing'}",
        initial=State(),
        transitions=lambda state: _transitions(state, guards),
        invariants={"one_may_order": _one_may_order, "fences_differ": _fences_differ},
    )


def _one_may_order(fields: dict[str, Any]) -> bool:
    return sum(map(may_order, fields["entries"])) <= 1


def _fences_differ(fields: dict[str, Any]) -> bool:
    fences = [entry.fence for entry in fields["entries"] if entry.version > 0]
    return len(fences) == len(set(fences))


def _transitions(state: State, guards: Guards) -> list[Step]:
    older = state._replace(entries=tuple(map(_older, state.entries)))
    steps: list[Step] = [("time passes", older)]
    for number in ENTRIES:
        steps += _entry_steps(state, number, guards)
        steps += _write_steps(state, number, guards)
        steps += _late_steps(state, number, guards)
    return [(label, _without_hopeless(after, guards)) for label, after in steps]


def _older(entry: Entry) -> Entry:
    """Return an entry a step of time later; what no longer matters stays."""
    write = entry.write
    if write is not None:
        write = write._replace(age=min(LEASE, write.age + 1))
    return entry._replace(
        good_for=max(0, entry.good_for - 1),
        waited=min(LEASE, entry.waited + 1),
        write=write,
    )


def replaced(state: State, number: int, entry: Entry) -> State:
    """Return the state with another value of one entry."""
    entries = list(state.entries)
    entries[number] = entry
    return state._replace(entries=tuple(entries))


def _entry_steps(state: State, number: int, guards: Guards) -> list[Step]:
    mine = state.entries[number]
    if mine.write is not None:
        return []
    name = f"entry {number}"
    if mine.version > 0:
        write = Write(mine.version, mine.fence)
        renewing = mine._replace(write=write)
        return [(f"{name} renews", replaced(state, number, renewing))]
    steps: list[Step] = []
    if mine.seen != state.version:
        looked = mine._replace(
            seen=state.version,
            seen_holder=state.holder,
            seen_fence=state.fence,
            waited=0,
        )
        steps.append((f"{name} looks", replaced(state, number, looked)))
    if mine.seen != NOBODY and may_take(mine, number, guards):
        write = Write(mine.seen, next_fence(mine, number))
        taking = mine._replace(write=write)
        steps.append((f"{name} takes", replaced(state, number, taking)))
    return steps


def _write_steps(state: State, number: int, guards: Guards) -> list[Step]:
    mine = state.entries[number]
    write = mine.write
    if write is None:
        return []
    name = f"entry {number}"
    if write.landed_as:
        return _answer_steps(state, number, write, guards)
    steps: list[Step] = []
    if _fits(state, write, guards):
        landed = mine._replace(write=write._replace(landed_as=state.version + 1))
        following = _land(replaced(state, number, landed), number, write)
        steps.append((f"write of {name} lands", following))
    if write.if_version != state.version and guards.conditional_write:
        refused = mine._replace(version=0, fence=0, good_for=0, write=None)
        steps.append((f"{name} learns of a conflict", replaced(state, number, refused)))
    if mine.late is None:
        gone = mine._replace(write=None, late=write._replace(age=0))
        steps.append((f"{name} stops waiting", replaced(state, number, gone)))
    return steps


def _late_steps(state: State, number: int, guards: Guards) -> list[Step]:
    mine = state.entries[number]
    if mine.late is None or not _fits(state, mine.late, guards):
        return []
    following = replaced(state, number, mine._replace(late=None))
    landed = _land(following, number, mine.late)
    return [(f"late write of entry {number} lands", landed)]


def _without_hopeless(state: State, guards: Guards) -> State:
    """Drop late writes whose version has passed: they never land."""
    if not guards.conditional_write:
        return state
    entries = tuple(
        entry._replace(late=None)
        if entry.late is not None and entry.late.if_version < state.version
        else entry
        for entry in state.entries
    )
    return state._replace(entries=entries)


def _fits(state: State, write: Write, guards: Guards) -> bool:
    if state.version >= LAST_VERSION:
        return False
    return write.if_version == state.version or not guards.conditional_write


def _land(state: State, number: int, write: Write) -> State:
    return state._replace(version=state.version + 1, holder=number, fence=write.fence)


def _answer_steps(
    state: State, number: int, write: Write, guards: Guards
) -> list[Step]:
    mine = state.entries[number]
    name = f"entry {number}"
    age = write.age if guards.counted_from_before else 0
    held = Entry(
        version=write.landed_as,
        fence=write.fence,
        good_for=max(0, LEASE - MARGIN - age),
        late=mine.late,
    )
    lost = mine._replace(write=None)
    if not guards.answer_needed:
        lost = held._replace(good_for=LEASE - MARGIN)
    return [
        (f"{name} is answered", replaced(state, number, held)),
        (f"answer to {name} is lost", replaced(state, number, lost)),
    ]
