"""Cuts of VMs as their orders leave, and checks from the side of the engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
import contextlib
from functools import partial
from itertools import pairwise
import signal
from typing import TYPE_CHECKING

from soak.const import (
    FREEZE_SLACK_SECONDS,
    MAX_DOWN_SECONDS,
    MAX_HOLD_SECONDS,
    MAX_ORDER_WAIT_SECONDS,
    MIN_HOLD_SECONDS,
    MIN_HOLDER_GAP_SECONDS,
)
from soak.faults import cut_links, name_weights
from soak.links import LinkCut
from soak.proxy import Impairment

if TYPE_CHECKING:
    from soak.run import Soak
    from soak.vms import Vm
    from stand_ins.v1_platform import ArrivedOrder

ORDER_START = b"POST /v1/order "
HELD_SHARE = 0.8
"""Share of the cuts that begin with the bytes of the order, not after them."""
ENDS = [None, None, signal.SIGKILL, signal.SIGKILL, signal.SIGSTOP]
"""Signals to a VM that is cut."""
MAX_ORDERS_BEFORE = 1
"""Most orders of a rollout before the one at which its VM is cut."""


def order_findings(
    orders: Sequence[ArrivedOrder],
    is_excused: Callable[[ArrivedOrder], bool] = lambda order: False,
) -> list[str]:
    """Return how orders break the rule that one VM at a time gives them.

    The rule is about the orders to one engine. The lease is one for all engines, so
    that it also holds over all of them.

    Parameters
    ----------
    is_excused
        Returns whether an order doesn't count.
    """
    counted = sorted(order for order in orders if not is_excused(order))
    found = [
        f"ONE over all engines: {finding}"
        for before, after in pairwise(counted)
        if before.engine != after.engine and (finding := _finding(before, after))
    ]
    for engine in sorted({order.engine for order in counted}):
        own = [order for order in counted if order.engine == engine]
        found += [
            f"ONE at {engine}: {finding}"
            for before, after in pairwise(own)
            if (finding := _finding(before, after))
        ]
    return found


def _finding(before: ArrivedOrder, after: ArrivedOrder) -> str:
    """Return how an order and the next one break the rule; empty if they don't."""
    is_other = _sender(after) != _sender(before)
    if after.fence < before.fence:
        reason = "a lower fence after a higher one"
    elif is_other and after.fence == before.fence:
        reason = "two holders with one fence"
    elif is_other and after.at - before.at < MIN_HOLDER_GAP_SECONDS:
        reason = f"two holders within {MIN_HOLDER_GAP_SECONDS:g} s"
    else:
        return ""
    return f"{reason}: {_describe(before)}, then {_describe(after)}"


def _sender(order: ArrivedOrder) -> tuple[str, str]:
    """Return the name that a holder bears, with its VM, which is what counts."""
    return (order.holder, order.vm)


def _describe(order: ArrivedOrder) -> str:
    taken = "" if order.is_taken else " (rejected)"
    return (
        f"fence {order.fence} of {order.holder} via {order.vm or '?'} "
        f"at {order.engine}{taken}, {order.at:.2f} s"
    )


def is_excused(soak: Soak, order: ArrivedOrder) -> bool:
    """Return whether an order came just after its VM went on or a link healed."""
    thaws = [
        at
        for vm in soak.vms
        if vm.name == order.vm
        for at, step in vm.history
        if step == signal.SIGCONT.name
    ]
    heals = [at for at, name in soak.heals if name in (order.vm, order.engine)]
    return any(0 <= order.at - at <= FREEZE_SLACK_SECONDS for at in (*thaws, *heals))


async def cut_at_order(soak: Soak) -> None:
    """Name new weights, and cut the VM that orders them for seconds as it does.

    The VM may be killed or stopped meanwhile. Another one then takes over the lease,
    and the bytes of the order arrive after the cut unless the sender has taken them
    back.
    """
    rng = soak.order_random
    is_held = rng.random() < HELD_SHARE
    delay = 0.0 if is_held else rng.uniform(0.0, 0.15)
    seconds = rng.uniform(MIN_HOLD_SECONDS, MAX_HOLD_SECONDS)
    end = rng.choice(ENDS)
    end_after = rng.uniform(0.0, 1.0)
    stopped = rng.uniform(0.3, seconds)
    down = rng.uniform(0.0, MAX_DOWN_SECONDS)
    ordering: asyncio.Future[Vm] = asyncio.get_running_loop().create_future()
    orders_before = list(range(rng.randint(0, MAX_ORDERS_BEFORE)))

    def note_order(vm: Vm, data: bytes) -> None:
        """Note an order that leaves a VM; hold it up unless it leaves too early."""
        if ordering.done() or not data.startswith(ORDER_START):
            return
        if orders_before:
            orders_before.pop()
            return
        ordering.set_result(vm)
        if is_held:
            _hold_links(soak, vm)

    for vm in soak.vms:
        for link in soak.links[vm.name].values():
            link.proxy.on_data = partial(note_order, vm)
    await name_weights(soak)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_ORDER_WAIT_SECONDS):
            vm = await ordering
            await asyncio.sleep(delay)
    if not ordering.done() or ordering.cancelled():
        return
    vm = ordering.result()
    soak.report.faults.append(f"hold {vm.name} for {seconds:.1f} s, {end}")
    soak.proxies[vm.name].impairment = Impairment.HOLD
    cut = asyncio.create_task(cut_links(soak, [vm], LinkCut.HOLD, seconds))
    await asyncio.sleep(end_after)
    if end is signal.SIGKILL:
        await vm.async_kill()
    elif end is signal.SIGSTOP:
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stopped)
        vm.send_signal(signal.SIGCONT)
    await cut
    soak.proxies[vm.name].impairment = Impairment.NONE
    if end is signal.SIGKILL:
        await asyncio.sleep(down)
        await vm.async_start()


def _hold_links(soak: Soak, vm: Vm) -> None:
    """Hold the data on a VM's links that are not cut yet, at once."""
    for link in soak.links[vm.name].values():
        if link.proxy.impairment is Impairment.NONE:
            link.proxy.impairment = Impairment.HOLD
