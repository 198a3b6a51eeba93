"""Specification: orders of an old and a new issuer to one engine.

An order tells an engine to load the model versions of a document. Its issuer is the
entry that holds the lease, or held it when it was paused. The number of an issuer is
also its fencing number and the version of the document that it orders.

The old issuer was paused after it last checked its lease, so its orders may arrive at
any later time. The engine may ignore fencing numbers. The new issuer knows the newest
document.
"""

from __future__ import annotations

from typing import Any, Final, NamedTuple

from .common import Specification, Step

OLD_ISSUER: Final = 1
NEW_ISSUER: Final = 2
OLD_ORDER_COUNT: Final = 2


class Order(NamedTuple):
    """An order in flight; its fencing number identifies the issuer."""

    fence: int
    version: int


class State(NamedTuple):
    """State of the engine, and the orders in flight to it.

    ``loaded_version`` is the document version whose models the engine has loaded, 0
    for none.
    """

    loaded_version: int = 0
    highest_fence: int = 0
    sent_by_old: int = 0
    sent_by_new: bool = False
    in_flight: tuple[Order, ...] = ()


class Guards(NamedTuple):
    """Rules that make late orders harmless; each one can be disabled.

    With ``rechecks_engine``, the new issuer checks the engine also after its first
    order.
    """

    rechecks_engine: bool = True


ALL_GUARDS: Final = Guards()


def specification(*, checks_fence: bool, guards: Guards = ALL_GUARDS) -> Specification:
    """Build the specification for an engine with or without fencing checks."""
    return Specification(
        name=f"orders, fencing {checks_fence}, {guards}",
        initial=State(),
        transitions=lambda state: _transitions(state, checks_fence, guards),
        invariants={
            "new_version_is_kept": lambda d: new_version_is_kept(d, checks_fence)
        },
    )


def is_settled(fields: dict[str, Any]) -> bool:
    """Return whether the engine matches the newest document permanently."""
    all_arrived = not fields["in_flight"] and fields["sent_by_old"] == OLD_ORDER_COUNT
    return bool(all_arrived and fields["loaded_version"] == NEW_ISSUER)


def new_version_is_kept(fields: dict[str, Any], checks_fence: bool) -> bool:
    """Return whether an engine that checks fences keeps the new version once loaded."""
    if not checks_fence or fields["highest_fence"] < NEW_ISSUER:
        return True
    return bool(fields["loaded_version"] == NEW_ISSUER)


def needs_order(loaded_version: int) -> bool:
    """Return whether the new issuer sends an order when it checks the engine."""
    return loaded_version != NEW_ISSUER


def _transitions(state: State, checks_fence: bool, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    if state.sent_by_old < OLD_ORDER_COUNT:
        in_flight = (*state.in_flight, Order(OLD_ISSUER, OLD_ISSUER))
        next_state = state._replace(
            sent_by_old=state.sent_by_old + 1, in_flight=in_flight
        )
        steps.append(("old issuer sends", next_state))
    pending = any(order.fence == NEW_ISSUER for order in state.in_flight)
    may_check = guards.rechecks_engine or not state.sent_by_new
    if not pending and needs_order(state.loaded_version) and may_check:
        sent = (*state.in_flight, Order(NEW_ISSUER, NEW_ISSUER))
        next_state = state._replace(in_flight=sent, sent_by_new=True)
        steps.append(("new issuer checks the engine and sends", next_state))
    for index, order in enumerate(state.in_flight):
        remaining = state.in_flight[:index] + state.in_flight[index + 1 :]
        without_order = state._replace(in_flight=remaining)
        steps.append(
            (
                f"order of issuer {order.fence} arrives",
                _arrive(without_order, order, checks_fence),
            )
        )
        steps.append((f"order of issuer {order.fence} is lost", without_order))
    return steps


def _arrive(state: State, order: Order, checks_fence: bool) -> State:
    if checks_fence and order.fence < state.highest_fence:
        return state
    return state._replace(
        loaded_version=order.version,
        highest_fence=max(order.fence, state.highest_fence),
    )
