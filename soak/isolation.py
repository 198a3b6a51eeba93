"""Customers that are isolated from time to time, and uses of their cached parts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from itertools import pairwise
from math import inf
import random
from typing import TYPE_CHECKING, Final, NamedTuple

from soak.callers import call
from stand_ins.v1_part_cache import PartUse

if TYPE_CHECKING:
    from soak.run import Soak

OTHER_CUSTOMERS: Final = ("b", "c")
CALLS_PER_SECOND: Final = 12.0
SHARED_PARTS: Final = 5
"""Parts that only prompts of the other customers have."""
IN_FORCE_SECONDS: Final = 5.0
"""Time after which each VM has a document, also after a cut, freeze or outage."""
MIN_PERIOD_SECONDS: Final = 6.0
MAX_PERIOD_SECONDS: Final = 8.0
ODD_CUSTOMERS: Final = (
    {"name": "x", "api_keys": ["key-of-x"], "priority": "high"},
    {"name": "half a pair \ud83d"},
    {"name": ""},
    None,
)


class IsolationChange(NamedTuple):
    """Customers that a document isolates from the time of its acknowledgement."""

    at: float
    customers: frozenset[str]


def key_of(customer: str) -> str:
    """Return the API key of a customer."""
    return f"key-of-{customer}"


def customer_entries(isolated: frozenset[str], rng: random.Random) -> list[object]:
    """Return the other customers; isolated ones may lose their keys."""
    entries: list[object] = []
    for name in OTHER_CUSTOMERS:
        has_keys = name not in isolated or rng.random() < 0.5
        keys = [key_of(name)] if has_keys else []
        entries.append({"name": name, "api_keys": keys, "dedicated": name in isolated})
    if rng.random() < 0.5:
        entries.append(rng.choice(ODD_CUSTOMERS))
    return entries


def isolated_names(entries: Iterable[object]) -> frozenset[str]:
    """Return the customers that entries isolate."""
    return frozenset(
        str(entry["name"])
        for entry in entries
        if isinstance(entry, dict) and entry.get("dedicated")
    )


async def async_change_isolation(run: Soak) -> None:
    """Isolate other customers, or none, at random times."""
    if not run.changes_isolation:
        return
    rng = run.isolation_random
    end = asyncio.get_running_loop().time() + run.seconds - MIN_PERIOD_SECONDS
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        isolated = frozenset(rng.sample(OTHER_CUSTOMERS, rng.choice([0, 1, 1, 2])))
        run.other_customers = customer_entries(isolated, rng)
        run.report.faults.append(f"isolate {'+'.join(sorted(isolated)) or 'none'}")
        await run.async_put_next_document()
        await asyncio.sleep(rng.uniform(MIN_PERIOD_SECONDS, MAX_PERIOD_SECONDS))


async def async_call_as_others(run: Soak) -> None:
    """Send streams as other customers, whose prompts have parts in common."""
    if not run.changes_isolation:
        return
    rng = random.Random(f"others {run.report.seed}")
    end = asyncio.get_running_loop().time() + run.seconds
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(rng.expovariate(CALLS_PER_SECOND))
        task = asyncio.create_task(_async_call(run, rng.choice(OTHER_CUSTOMERS), rng))
        run.calls.add(task)
        task.add_done_callback(run.calls.discard)


async def _async_call(run: Soak, customer: str, rng: random.Random) -> None:
    vm = rng.choice(run.vms)
    number = run.next_number(vm)
    kind = run.record_kind(number, "stream")
    part = f"c{number % SHARED_PARTS}"
    key = key_of(customer)
    result = await call(vm.host, vm.front_port, kind, number, key, part=part)
    result.customer = customer
    run.results.append(result)


def isolation_findings(
    uses: Iterable[PartUse],
    changes: list[IsolationChange],
    sent_at: dict[str, float],
) -> list[str]:
    """Return the uses of another customer's part while one of the two was isolated.

    Parameters
    ----------
    sent_at
        Time at which each request was sent, by its id. The customer must have been
        isolated for `IN_FORCE_SECONDS` then, and until the use.
    """
    findings = []
    for use in uses:
        if use.customer == use.maker:
            continue
        since = sent_at.get(use.request_id, inf) - IN_FORCE_SECONDS
        for customer in (use.customer, use.maker):
            if _is_isolated(customer, changes, since, use.at):
                findings.append(
                    f"WALL: {use.request_id} of {use.customer} used part {use.part} "
                    f"that {use.maker_id} of {use.maker} made; {customer} is isolated"
                )
    return findings


def _is_isolated(
    customer: str, changes: list[IsolationChange], start: float, end: float
) -> bool:
    """Return whether each document in force in a time isolates a customer."""
    last = IsolationChange(inf, frozenset())
    periods = [
        change.customers
        for change, following in pairwise([*changes, last])
        if change.at < end and following.at > start
    ]
    is_known = bool(changes) and changes[0].at <= start < end
    return is_known and all(customer in names for names in periods)
