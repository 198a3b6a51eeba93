"""Specification: orders of an old and a new issuer to one engine.

The old issuer was paused after its last check, so its orders may arrive at any later
time. The engine may ignore fencing numbers. The new issuer knows the newest document.
"""

from __future__ import annotations

from typing import Any, Final, NamedTuple

from .common import Specification, Step

OLD: Final = 1
NEW: Final = 2
OLD_ORDERS: Final = 2


class Order(NamedTuple):
    """An order on its way; the fencing number is its issuer."""

    fence: int
    version: int


class State(NamedTuple):
    """What the engine has loaded, and what is on its way to it."""

    loaded: int = 0
    highest_fence: int = 0
    sent_by_old: int = 0
    sent_by_new: bool = False
    on_its_way: tuple[Order, ...] = ()


class Guards(NamedTuple):
    """What makes late orders harmless; each can be taken away."""

    looks_again: bool = True


ALL_GUARDS: Final = Guards()


def specification(*, fencing: bool, guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification for an engine that checks fencing numbers, or not."""
    return Specification(
        name=f"orders, fencing {fencing}, {guards}",
        initial=State(),
        transitions=lambda state: _transitions(state, fencing, guards),
        invariants={"old_never_after_new": lambda d: old_never_after_new(d, fencing)},
    )


def settled(fields: dict[str, Any]) -> bool:
    """Return whether the engine has what the newest document wants for good."""
    nothing = not fields["on_its_way"] and fields["sent_by_old"] == OLD_ORDERS
    return bool(nothing and fields["loaded"] == NEW)


def old_never_after_new(fields: dict[str, Any], fencing: bool) -> bool:
    """Return whether an engine that saw the new issuer kept off the old one."""
    if not fencing or fields["highest_fence"] < NEW:
        return True
    return bool(fields["loaded"] == NEW)


def restates(loaded: int) -> bool:
    """Return whether an issuer that looks at the engine states its order."""
    return loaded != NEW


def _transitions(state: State, fencing: bool, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    if state.sent_by_old < OLD_ORDERS:
        late = (*state.on_its_way, Order(OLD, OLD))
        following = state._replace(sent_by_old=state.sent_by_old + 1, on_its_way=late)
        steps.append(("old issuer sends", following))
    waiting = any(order.fence == NEW for order in state.on_its_way)
    may_look = guards.looks_again or not state.sent_by_new
    if not waiting and restates(state.loaded) and may_look:
        sent = (*state.on_its_way, Order(NEW, NEW))
        following = state._replace(on_its_way=sent, sent_by_new=True)
        steps.append(("new issuer looks and sends", following))
    for place, order in enumerate(state.on_its_way):
        rest = state.on_its_way[:place] + state.on_its_way[place + 1 :]
        left = state._replace(on_its_way=rest)
        steps.append((f"order of {order.fence} arrives", _arrive(left, order, fencing)))
        steps.append((f"order of {order.fence} is lost", left))
    return steps


def _arrive(state: State, order: Order, fencing: bool) -> State:
    if fencing and order.fence < state.highest_fence:
        return state
    return state._replace(
        loaded=order.version, highest_fence=max(order.fence, state.highest_fence)
    )
