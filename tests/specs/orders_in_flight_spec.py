"""Specification: orders of two holders of the lease are in flight to an engine.

An order is in flight, through a cut of the link if need be, until it arrives, is lost,
or a bound at its sender ends it: a running sender gives it up and resets the
connection, a killed one's connections are reset as they are closed, and the kernel of
any sender, also of one that stands still, gives up after some time. The engine ignores
fencing numbers.

The lease itself is that of ``lease_spec``: its time is counted from before the last
confirmed write, and one entry holds it at a time. Time passes equally for all and in
steps; a check of the lease and the write of the bytes that it permits are one action.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

from .common import Specification, Step

ENTRIES: Final = (0, 1)
NONE: Final = -1
VALIDITY_STEPS: Final = 1
"""Time after a renewal in which the holder may write orders."""
ORDER_LIMIT_STEPS: Final = 2
"""Time after which a running sender gives up an order."""
KERNEL_DELAY_STEPS: Final = 1
"""Time by which the kernel gives up later than a running sender."""
HOLDER_GAP_STEPS: Final = 2
"""Least time between the orders of two holders."""
MAX_FENCE: Final = 3


class Process(IntEnum):
    """What a sender does."""

    RUNNING = 0
    PAUSED = 1
    DEAD = 2


class Sender(NamedTuple):
    """A sender of orders.

    ``decided_fence`` is the fencing number of an order that is decided but not yet
    written, and ``sent_fence`` that of the order in flight; 0 for none. ``sent_for`` is
    the time since it was written.
    """

    process: Process = Process.RUNNING
    decided_fence: int = 0
    sent_fence: int = 0
    sent_for: int = 0


class State(NamedTuple):
    """The lease, the senders and the last order that has reached the engine.

    ``lease_age`` is the time since the last confirmed write of the lease, and
    ``arrived_for`` the time since the last order arrived. ``has_fence_fallen`` and
    ``has_taken_turns`` say whether an order has broken the rule.
    """

    holder: int = NONE
    fence: int = 0
    lease_age: int = 0
    senders: tuple[Sender, ...] = tuple(Sender() for _ in ENTRIES)
    arrived_from: int = NONE
    arrived_fence: int = 0
    arrived_for: int = 0
    has_fence_fallen: bool = False
    has_taken_turns: bool = False


class Guards(NamedTuple):
    """Rules that bound orders in flight; each one can be disabled.

    Attributes
    ----------
    resets_on_close
        A connection is reset when its order is given up, and when its process ends.
    kernel_limit
        The kernel gives up what it can't deliver after some time.
    lease_counts_order
        Others may take over the lease only after the time limit of an order, beside
        the validity and the least time between two holders.
    lease_counts_kernel
        They also wait for the time by which the kernel gives up later.
    lease_checked_at_write
        The lease is checked when the order is written, not when it is decided.
    pauses
        Not a rule: whether a process may stand still.
    """

    resets_on_close: bool = True
    kernel_limit: bool = True
    lease_counts_order: bool = True
    lease_counts_kernel: bool = True
    lease_checked_at_write: bool = True
    pauses: bool = True


ALL_GUARDS: Final = Guards()


def lease_steps(guards: Guards) -> int:
    """Return the time after the last write from which others may take the lease."""
    steps = VALIDITY_STEPS + HOLDER_GAP_STEPS
    if guards.lease_counts_order:
        steps += ORDER_LIMIT_STEPS
    if guards.lease_counts_kernel:
        steps += KERNEL_DELAY_STEPS
    return steps


def specification(guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification with the given guards."""
    disabled = [name for name, enabled in guards._asdict().items() if not enabled]
    return Specification(
        name=f"orders in flight, disabled guards: {', '.join(disabled) or 'none'}",
        initial=State(),
        transitions=lambda state: _transitions(state, guards),
        invariants={
            "fences_never_fall": lambda fields: not fields["has_fence_fallen"],
            "holders_take_no_turns": lambda fields: not fields["has_taken_turns"],
        },
    )


def may_write(state: State, number: int, fence: int) -> bool:
    """Return whether a sender may write an order with a fencing number now."""
    is_holder = state.holder == number and state.fence == fence
    return is_holder and state.lease_age <= VALIDITY_STEPS


def _transitions(state: State, guards: Guards) -> list[Step]:
    if _is_broken(state):
        return []
    steps: list[Step] = [("time passes", _advance_time(state, guards))]
    for number in ENTRIES:
        steps += _process_steps(state, number, guards)
        steps += _network_steps(state, number)
        if state.senders[number].process is Process.RUNNING:
            steps += _lease_steps(state, number, guards)
            steps += _order_steps(state, number, guards)
    return steps


def _is_broken(state: State) -> bool:
    return state.has_fence_fallen or state.has_taken_turns


def _advance_time(state: State, guards: Guards) -> State:
    """Advance by one step; values stay at bounds beyond which they don't matter."""
    senders = tuple(_advance_sender(sender, guards) for sender in state.senders)
    return state._replace(
        lease_age=min(lease_steps(guards), state.lease_age + 1),
        arrived_for=min(HOLDER_GAP_STEPS, state.arrived_for + 1),
        senders=senders,
    )


def _advance_sender(sender: Sender, guards: Guards) -> Sender:
    if not sender.sent_fence:
        return sender
    kernel_limit = ORDER_LIMIT_STEPS + KERNEL_DELAY_STEPS
    sent_for = min(kernel_limit + 1, sender.sent_for + 1)
    is_running = sender.process is Process.RUNNING
    if guards.resets_on_close and is_running and sent_for > ORDER_LIMIT_STEPS:
        return _without_order(sender)
    if guards.kernel_limit and sent_for > kernel_limit:
        return _without_order(sender)
    return sender._replace(sent_for=sent_for)


def _without_order(sender: Sender) -> Sender:
    return sender._replace(sent_fence=0, sent_for=0)


def _replace_sender(state: State, number: int, sender: Sender) -> State:
    senders = list(state.senders)
    senders[number] = sender
    return state._replace(senders=tuple(senders))


def _process_steps(state: State, number: int, guards: Guards) -> list[Step]:
    sender = state.senders[number]
    name = f"sender {number}"

    def become(process: Process) -> State:
        return _replace_sender(state, number, sender._replace(process=process))

    killed = sender._replace(process=Process.DEAD, decided_fence=0)
    if guards.resets_on_close:
        killed = _without_order(killed)
    kill = (f"{name} is killed", _replace_sender(state, number, killed))
    match sender.process:
        case Process.DEAD:
            return [(f"{name} starts", become(Process.RUNNING))]
        case Process.PAUSED:
            running = become(Process.RUNNING)
            if guards.resets_on_close and sender.sent_for > ORDER_LIMIT_STEPS:
                given_up = _without_order(running.senders[number])
                running = _replace_sender(running, number, given_up)
            return [kill, (f"{name} goes on", running)]
        case _:
            pause = (f"{name} stands still", become(Process.PAUSED))
            return [kill, pause] if guards.pauses else [kill]


def _network_steps(state: State, number: int) -> list[Step]:
    """Return the arrival and the loss of an order, at any time after its write."""
    sender = state.senders[number]
    if not sender.sent_fence:
        return []
    without = _replace_sender(state, number, _without_order(sender))
    is_other = state.arrived_from not in (NONE, number)
    arrived = without._replace(
        arrived_from=number,
        arrived_fence=max(sender.sent_fence, state.arrived_fence),
        arrived_for=0,
        has_fence_fallen=sender.sent_fence < state.arrived_fence,
        has_taken_turns=is_other and state.arrived_for < HOLDER_GAP_STEPS,
    )
    name = f"order of sender {number}"
    return [(f"{name} arrives", arrived), (f"{name} is lost", without)]


def _lease_steps(state: State, number: int, guards: Guards) -> list[Step]:
    if state.holder == number:
        return [(f"sender {number} renews", state._replace(lease_age=0))]
    is_free = state.holder == NONE or state.lease_age >= lease_steps(guards)
    if not is_free or state.fence >= MAX_FENCE:
        return []
    taken = state._replace(holder=number, fence=state.fence + 1, lease_age=0)
    return [(f"sender {number} takes the lease", taken)]


def _order_steps(state: State, number: int, guards: Guards) -> list[Step]:
    sender = state.senders[number]
    name = f"sender {number}"
    if sender.decided_fence:
        dropped = sender._replace(decided_fence=0)
        steps = [(f"{name} drops its order", _replace_sender(state, number, dropped))]
        may = may_write(state, number, sender.decided_fence)
        if may or not guards.lease_checked_at_write:
            sent = dropped._replace(sent_fence=sender.decided_fence, sent_for=0)
            after = _replace_sender(state, number, sent)
            steps.append((f"{name} writes its order", after))
        return steps
    if sender.sent_fence or not may_write(state, number, state.fence):
        return []
    decided = sender._replace(decided_fence=state.fence)
    return [(f"{name} decides to order", _replace_sender(state, number, decided))]
