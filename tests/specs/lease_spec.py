"""Specification: two entries compete for the lease that permits to send orders.

Time passes equally for all entries, in steps that may occur between any two actions. A
paused entry is one that takes no action while time passes. Times are stored as ages and
remaining times that stop at a bound, so the state space is finite although time never
ends. The platform applies a write some time after it was sent, and the answer may be
late or lost. ``fence`` is the fencing number (fencing token) of a lease.
"""

from __future__ import annotations

from typing import Any, Final, NamedTuple

from .common import Specification, Step

ENTRIES: Final = (0, 1)
# Nothing read yet, or no holder. A version of 0 means that the lease does not exist.
UNSET: Final = -1
LEASE_DURATION_STEPS: Final = 3
# The holder stops sending orders this long before its lease ends.
LEASE_MARGIN_STEPS: Final = 1
MAX_VERSION: Final = 3


class Write(NamedTuple):
    """A write of the lease in flight, sent ``age`` time steps ago.

    ``applied_version`` is the version that the write created, or 0 until then.
    """

    if_version: int
    fence: int
    age: int = 0
    applied_version: int = 0


class Entry(NamedTuple):
    """State of one entry.

    ``version`` is the version of the lease that the entry holds, or 0, and
    ``order_time_left`` is the time for which it may still send orders. ``seen_version``
    is the version that the entry read last, and ``unchanged_for`` is the time since it
    first read that version. ``timed_out_write`` is a write whose answer the entry no
    longer waits for.
    """

    version: int = 0
    fence: int = 0
    order_time_left: int = 0
    seen_version: int = UNSET
    seen_holder: int = UNSET
    seen_fence: int = 0
    unchanged_for: int = 0
    write: Write | None = None
    timed_out_write: Write | None = None


class State(NamedTuple):
    """The lease on the platform and the entries."""

    version: int = 0
    holder: int = UNSET
    fence: int = 0
    entries: tuple[Entry, ...] = tuple(Entry() for _ in ENTRIES)


class Guards(NamedTuple):
    """Rules that keep the protocol safe; each one can be disabled.

    Attributes
    ----------
    lease_counted_from_send
        The lease time starts when the write is sent, not when it is answered.
    waits_full_lease
        An entry acquires the lease of another one only after it has seen it unchanged
        for the lease duration.
    conditional_write
        The platform applies a write only if the lease has the expected version.
    answer_required
        An entry holds the lease only after its write was answered.
    """

    lease_counted_from_send: bool = True
    waits_full_lease: bool = True
    conditional_write: bool = True
    answer_required: bool = True


ALL_GUARDS: Final = Guards()


def may_order(entry: Entry) -> bool:
    """Return whether an entry may send orders."""
    return entry.version > 0 and entry.order_time_left > 0


def may_acquire(entry: Entry, number: int, guards: Guards) -> bool:
    """Return whether an entry without a lease may try to acquire it."""
    if entry.seen_holder in (UNSET, number) or not guards.waits_full_lease:
        return True
    return entry.unchanged_for >= LEASE_DURATION_STEPS


def next_fence(entry: Entry, number: int) -> int:
    """Return the fencing number that an entry writes when it acquires the lease."""
    return entry.seen_fence if entry.seen_holder == number else entry.seen_fence + 1


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification with the given guards."""
    disabled = [name for name, enabled in guards._asdict().items() if not enabled]
    return Specification(
        name=f"lease, disabled guards: {', '.join(disabled) or 'none'}",
        initial=State(),
        transitions=lambda state: _transitions(state, guards),
        invariants={
            "at_most_one_may_order": _at_most_one_may_order,
            "holders_have_different_fences": _holders_have_different_fences,
        },
    )


def _at_most_one_may_order(fields: dict[str, Any]) -> bool:
    return sum(map(may_order, fields["entries"])) <= 1


def _holders_have_different_fences(fields: dict[str, Any]) -> bool:
    fences = [entry.fence for entry in fields["entries"] if entry.version > 0]
    return len(fences) == len(set(fences))


def _transitions(state: State, guards: Guards) -> list[Step]:
    advanced = state._replace(entries=tuple(map(_advance_time, state.entries)))
    steps: list[Step] = [("time passes", advanced)]
    for number in ENTRIES:
        steps += _entry_steps(state, number, guards)
        steps += _write_steps(state, number, guards)
        steps += _timed_out_write_steps(state, number, guards)
    return [(label, _drop_obsolete_writes(after, guards)) for label, after in steps]


def _advance_time(entry: Entry) -> Entry:
    """Advance an entry by one time step.

    Values stay at their bounds, beyond which they make no difference to the protocol.
    """
    write = entry.write
    if write is not None:
        write = write._replace(age=min(LEASE_DURATION_STEPS, write.age + 1))
    return entry._replace(
        order_time_left=max(0, entry.order_time_left - 1),
        unchanged_for=min(LEASE_DURATION_STEPS, entry.unchanged_for + 1),
        write=write,
    )


def replace_entry(state: State, number: int, entry: Entry) -> State:
    """Return the state with one entry replaced."""
    entries = list(state.entries)
    entries[number] = entry
    return state._replace(entries=tuple(entries))


def _entry_steps(state: State, number: int, guards: Guards) -> list[Step]:
    entry = state.entries[number]
    if entry.write is not None:
        return []
    name = f"entry {number}"
    if entry.version > 0:
        write = Write(entry.version, entry.fence)
        renewing = entry._replace(write=write)
        return [(f"{name} renews", replace_entry(state, number, renewing))]
    steps: list[Step] = []
    if entry.seen_version != state.version:
        observed = entry._replace(
            seen_version=state.version,
            seen_holder=state.holder,
            seen_fence=state.fence,
            unchanged_for=0,
        )
        steps.append(
            (f"{name} reads the lease", replace_entry(state, number, observed))
        )
    if entry.seen_version != UNSET and may_acquire(entry, number, guards):
        write = Write(entry.seen_version, next_fence(entry, number))
        acquiring = entry._replace(write=write)
        steps.append(
            (
                f"{name} tries to acquire the lease",
                replace_entry(state, number, acquiring),
            )
        )
    return steps


def _write_steps(state: State, number: int, guards: Guards) -> list[Step]:
    entry = state.entries[number]
    write = entry.write
    if write is None:
        return []
    name = f"entry {number}"
    if write.applied_version:
        return _answer_steps(state, number, write, guards)
    steps: list[Step] = []
    if _is_applicable(state, write, guards):
        applied = entry._replace(
            write=write._replace(applied_version=state.version + 1)
        )
        next_state = _apply_write(replace_entry(state, number, applied), number, write)
        steps.append((f"write of {name} is applied", next_state))
    if write.if_version != state.version and guards.conditional_write:
        refused = entry._replace(version=0, fence=0, order_time_left=0, write=None)
        steps.append(
            (f"{name} receives a conflict", replace_entry(state, number, refused))
        )
    if entry.timed_out_write is None:
        # The age of a timed-out write has no effect; resetting it merges states.
        timed_out = entry._replace(write=None, timed_out_write=write._replace(age=0))
        steps.append(
            (f"write of {name} times out", replace_entry(state, number, timed_out))
        )
    return steps


def _timed_out_write_steps(state: State, number: int, guards: Guards) -> list[Step]:
    entry = state.entries[number]
    if entry.timed_out_write is None or not _is_applicable(
        state, entry.timed_out_write, guards
    ):
        return []
    next_state = replace_entry(state, number, entry._replace(timed_out_write=None))
    applied = _apply_write(next_state, number, entry.timed_out_write)
    return [(f"timed-out write of entry {number} is applied", applied)]


def _drop_obsolete_writes(state: State, guards: Guards) -> State:
    """Drop timed-out writes that can no longer be applied.

    A conditional write always conflicts once the lease has a newer version.
    """
    if not guards.conditional_write:
        return state
    entries = tuple(
        entry._replace(timed_out_write=None)
        if entry.timed_out_write is not None
        and entry.timed_out_write.if_version < state.version
        else entry
        for entry in state.entries
    )
    return state._replace(entries=entries)


def _is_applicable(state: State, write: Write, guards: Guards) -> bool:
    if state.version >= MAX_VERSION:
        return False
    return write.if_version == state.version or not guards.conditional_write


def _apply_write(state: State, number: int, write: Write) -> State:
    return state._replace(version=state.version + 1, holder=number, fence=write.fence)


def _answer_steps(
    state: State, number: int, write: Write, guards: Guards
) -> list[Step]:
    entry = state.entries[number]
    name = f"entry {number}"
    age = write.age if guards.lease_counted_from_send else 0
    held = Entry(
        version=write.applied_version,
        fence=write.fence,
        order_time_left=max(0, LEASE_DURATION_STEPS - LEASE_MARGIN_STEPS - age),
        timed_out_write=entry.timed_out_write,
    )
    after_lost_answer = entry._replace(write=None)
    # Without the guard, the entry takes an unanswered write as successful.
    if not guards.answer_required:
        after_lost_answer = held._replace(
            order_time_left=LEASE_DURATION_STEPS - LEASE_MARGIN_STEPS
        )
    return [
        (f"{name} is answered", replace_entry(state, number, held)),
        (f"answer to {name} is lost", replace_entry(state, number, after_lost_answer)),
    ]
