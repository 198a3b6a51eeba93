"""Specification: two entries compete for the lease that permits to send orders.

Time passes equally for all entries, in steps that may occur between any two actions. A
paused entry is one that takes no action while time passes. Times are stored as ages and
remaining times that stop at a bound, so the state space is finite although time never
ends. The platform applies a write some time after it was sent, and the answer may be
late or lost. ``fence`` is the fencing number (fencing token) of a lease.

With ``restores``, the platform may once return from an older copy. It then starts a
new era and gives out versions again, so a condition on a version of the earlier era may
hold although the lease has changed. Entries compare versions together with the era.
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
MAX_VERSION_WITH_RESTORES: Final = 2
# Step between the values that versions and fencing numbers have in different eras.
ERA_STEP: Final = 10


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
    longer waits for. ``era`` is the latest era that the entry has seen, and
    ``era_known_for`` the time since it first saw it.
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
    era: int = 0
    era_known_for: int = LEASE_DURATION_STEPS


class Lease(NamedTuple):
    """The lease on the platform; its version counts from 0 in each era."""

    version: int = 0
    holder: int = UNSET
    fence: int = 0


class State(NamedTuple):
    """The lease on the platform and the entries.

    ``copy`` is the copy from which the platform may return, ``lost_fence`` the highest
    fencing number before that, and ``has_fence_fallen`` whether a number that is not
    higher was granted afterwards.
    """

    version: int = 0
    holder: int = UNSET
    fence: int = 0
    entries: tuple[Entry, ...] = tuple(Entry() for _ in ENTRIES)
    era: int = 0
    copy: Lease | None = None
    lost_fence: int = 0
    has_fence_fallen: bool = False


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
    waits_after_restore
        An entry that has seen a new era acquires a lease of an earlier era only after
        the lease duration.
    fences_rise_with_era
        Fencing numbers of an era are higher than those of earlier eras.
    versions_carry_era
        An entry treats a write as failed if the era has changed since it read the
        version of the condition.
    restores
        Not a rule: whether the platform may return from a copy. The model is then
        smaller elsewhere: no write is applied after its timeout, and fewer versions.
    """

    lease_counted_from_send: bool = True
    waits_full_lease: bool = True
    conditional_write: bool = True
    answer_required: bool = True
    waits_after_restore: bool = True
    fences_rise_with_era: bool = True
    versions_carry_era: bool = True
    restores: bool = False


ALL_GUARDS: Final = Guards()


def may_order(entry: Entry) -> bool:
    """Return whether an entry may send orders."""
    return entry.version > 0 and entry.order_time_left > 0


def era_floor(entry: Entry, guards: Guards = ALL_GUARDS) -> int:
    """Return the number that all fencing numbers of the entry's era exceed."""
    return entry.era * ERA_STEP if guards.fences_rise_with_era else 0


def may_acquire(entry: Entry, number: int, guards: Guards) -> bool:
    """Return whether an entry without a lease may try to acquire it."""
    is_from_earlier_era = entry.seen_fence <= entry.era * ERA_STEP
    is_grant_lost = entry.era_known_for < LEASE_DURATION_STEPS
    if guards.waits_after_restore and is_from_earlier_era and is_grant_lost:
        return False
    if entry.seen_holder == UNSET or not guards.waits_full_lease:
        return True
    if entry.seen_holder == number and entry.seen_fence >= era_floor(entry, guards):
        return True
    return entry.unchanged_for >= LEASE_DURATION_STEPS


def next_fence(entry: Entry, number: int, guards: Guards = ALL_GUARDS) -> int:
    """Return the fencing number that an entry writes when it acquires the lease."""
    floor = era_floor(entry, guards)
    if entry.seen_holder == number and entry.seen_fence >= floor:
        return entry.seen_fence
    return max(entry.seen_fence, floor) + 1


def specification(
    guards: Guards = ALL_GUARDS, *, restores: bool = False
) -> Specification:
    """Build the specification with the given guards."""
    rules = guards._replace(restores=True)._asdict()
    disabled = [name for name, enabled in rules.items() if not enabled]
    return Specification(
        name=f"lease, restores {restores}, disabled guards: "
        f"{', '.join(disabled) or 'none'}",
        initial=State(),
        transitions=lambda state: _transitions(
            state, guards._replace(restores=restores)
        ),
        invariants={
            "at_most_one_may_order": _at_most_one_may_order,
            "holders_have_different_fences": _holders_have_different_fences,
            "fences_never_fall": lambda fields: not fields["has_fence_fallen"],
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
    if guards.restores:
        steps += _restore_steps(state)
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
        era_known_for=min(LEASE_DURATION_STEPS, entry.era_known_for + 1),
        write=write,
    )


def _restore_steps(state: State) -> list[Step]:
    """Return the steps of a platform that copies its state once and returns to it.

    Nothing could be written after a return to the last version, so it is not copied.
    """
    if state.era:
        return []
    if state.copy is None:
        if state.version >= MAX_VERSION_WITH_RESTORES:
            return []
        copy = Lease(state.version, state.holder, state.fence)
        return [("the platform is copied", state._replace(copy=copy))]
    fences = (state.fence, *(entry.fence for entry in state.entries))
    restored = state._replace(
        **state.copy._asdict(), era=1, copy=None, lost_fence=max(fences)
    )
    return [("the platform returns from the copy", restored)]


def position(state: State) -> int:
    """Return the version of the lease together with the era."""
    return state.era * ERA_STEP + state.version


def _with_era(entry: Entry, era: int) -> Entry:
    """Return the entry after an answer that states the era."""
    if entry.era == era:
        return entry
    return entry._replace(era=era, era_known_for=0)


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
    steps: list[Step] = []
    if entry.era != state.era:
        informed = _with_era(entry, state.era)
        steps.append((f"{name} sees the era", replace_entry(state, number, informed)))
    if entry.version > 0:
        if guards.versions_carry_era and entry.version // ERA_STEP != entry.era:
            lost = entry._replace(version=0, fence=0, order_time_left=0)
            steps.append((f"{name} drops it", replace_entry(state, number, lost)))
            return steps
        write = Write(entry.version, entry.fence)
        renewing = entry._replace(write=write)
        steps.append((f"{name} renews", replace_entry(state, number, renewing)))
        return steps
    if entry.seen_version != position(state):
        observed = _with_era(entry, state.era)._replace(
            seen_version=position(state),
            seen_holder=state.holder,
            seen_fence=state.fence,
            unchanged_for=0,
        )
        steps.append(
            (f"{name} reads the lease", replace_entry(state, number, observed))
        )
    if entry.seen_version != UNSET and may_acquire(entry, number, guards):
        write = Write(entry.seen_version, next_fence(entry, number, guards))
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
            write=write._replace(applied_version=position(state) + 1)
        )
        next_state = _apply_write(replace_entry(state, number, applied), number, write)
        steps.append((f"write of {name} is applied", next_state))
    if not _is_condition_met(state, write) and guards.conditional_write:
        refused = _with_era(entry, state.era)._replace(
            version=0, fence=0, order_time_left=0, write=None
        )
        steps.append(
            (f"{name} receives a conflict", replace_entry(state, number, refused))
        )
    if guards.restores:
        timed_out = entry._replace(write=None)
        steps.append(
            (f"write of {name} is lost", replace_entry(state, number, timed_out))
        )
    elif entry.timed_out_write is None:
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
    # A copy with a lower version makes the condition hold again.
    may_return = state.copy is not None
    entries = tuple(
        entry._replace(timed_out_write=None)
        if entry.timed_out_write is not None
        and entry.timed_out_write.if_version % ERA_STEP < state.version
        and not may_return
        else entry
        for entry in state.entries
    )
    return state._replace(entries=entries)


def _is_applicable(state: State, write: Write, guards: Guards) -> bool:
    if state.version >= (MAX_VERSION_WITH_RESTORES if guards.restores else MAX_VERSION):
        return False
    return _is_condition_met(state, write) or not guards.conditional_write


def _is_condition_met(state: State, write: Write) -> bool:
    """Return whether the platform applies a conditional write.

    It compares versions without the era.
    """
    return write.if_version % ERA_STEP == state.version


def _apply_write(state: State, number: int, write: Write) -> State:
    return state._replace(version=state.version + 1, holder=number, fence=write.fence)


def _answer_steps(
    state: State, number: int, write: Write, guards: Guards
) -> list[Step]:
    entry = state.entries[number]
    name = f"entry {number}"
    age = write.age if guards.lease_counted_from_send else 0
    applied_era = write.applied_version // ERA_STEP
    if guards.versions_carry_era and applied_era != write.if_version // ERA_STEP:
        refused = _with_era(entry, max(applied_era, entry.era))._replace(
            version=0, fence=0, order_time_left=0, write=None
        )
        return [(f"{name} finds a new era", replace_entry(state, number, refused))]
    held = Entry(
        version=write.applied_version,
        fence=write.fence,
        order_time_left=max(0, LEASE_DURATION_STEPS - LEASE_MARGIN_STEPS - age),
        timed_out_write=entry.timed_out_write,
        era=max(applied_era, entry.era),
        era_known_for=entry.era_known_for if applied_era <= entry.era else 0,
    )
    granted = state
    if applied_era and write.fence <= state.lost_fence:
        granted = state._replace(has_fence_fallen=True)
    after_lost_answer = entry._replace(write=None)
    # Without the guard, the entry takes an unanswered write as successful.
    if not guards.answer_required:
        after_lost_answer = held._replace(
            order_time_left=LEASE_DURATION_STEPS - LEASE_MARGIN_STEPS
        )
    return [
        (f"{name} is answered", replace_entry(granted, number, held)),
        (f"answer to {name} is lost", replace_entry(state, number, after_lost_answer)),
    ]
