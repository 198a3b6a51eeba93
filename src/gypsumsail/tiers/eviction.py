"""Decides what leaves a tier, and what comes back into memory."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from gypsumsail.context.store_view import StoredExport
from gypsumsail.stores.port import StoreLoad, Tier, TierLoad
from gypsumsail.tiers.const import (
    BRING_BACK_WITHIN_SECONDS,
    HIGH_USE,
    IMPORT_WORTH,
    LOW_USE,
    MEMORY_FOR_RETURNS,
)
from gypsumsail.tiers.returns import ReturnModel


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomPlan:
    """Exports to free, to move to disk and to bring back to memory."""

    free: tuple[StoredExport, ...] = ()
    to_disk: tuple[StoredExport, ...] = ()
    to_memory: tuple[StoredExport, ...] = ()


def plan_room(
    exports: Iterable[StoredExport],
    load: StoreLoad,
    returns: ReturnModel,
    *,
    now: float,
) -> RoomPlan:
    """Return what makes room in tiers that are nearly full.

    Memory gives to disk while disk has room, and frees otherwise. What is least
    likely to be used again goes first, and of a prompt its end before its start.
    What the store calls used and no listing shows can't be freed, so it doesn't
    count: a store that always calls itself full isn't emptied for it.
    """
    tiers = {tier.tier: tier for tier in load.tiers}
    ordered = least_valuable_first(exports, now=now)
    disk_free = _free(tiers.get(Tier.DISK), ordered, Tier.DISK)
    leaving = _free(tiers.get(Tier.MEMORY), ordered, Tier.MEMORY)
    room = _room(tiers.get(Tier.DISK), HIGH_USE)
    moved: list[StoredExport] = []
    freed = list(disk_free)
    for export in leaving:
        if export.size <= room:
            room -= export.size
            moved.append(export)
        else:
            freed.append(export)
    back: list[StoredExport] = []
    if not leaving:
        back = list(_bring_back(ordered, tiers.get(Tier.MEMORY), returns, now=now))
    return RoomPlan(free=tuple(freed), to_disk=tuple(moved), to_memory=tuple(back))


def least_valuable_first(
    exports: Iterable[StoredExport], *, now: float
) -> list[StoredExport]:
    """Return exports by how long they were idle; imports count against it.

    All parts of a prompt are as valuable as its most recently used one, since
    none is of use without those before it.
    """
    known = list(exports)
    last_used: dict[str, float] = {}
    imports: dict[str, int] = {}
    for export in known:
        key = export.generation.key
        last_used[key] = max(last_used.get(key, export.used_at), export.used_at)
        imports[key] = max(imports.get(key, 0), export.imports)

    def order(export: StoredExport) -> tuple[float, str, int]:
        key = export.generation.key
        idle = max(now - last_used[key], 0.0)
        worn = idle / (1 + IMPORT_WORTH * min(imports[key], 3))
        return (-worn, key, -export.generation.start)

    return sorted(known, key=order)


def _free(
    load: TierLoad | None, ordered: Sequence[StoredExport], tier: Tier
) -> list[StoredExport]:
    inside = [export for export in ordered if export.tier is tier]
    listed = sum(export.size for export in inside)
    if load is None or min(load.used, listed) <= HIGH_USE * load.limit:
        return []
    excess = min(load.used, listed) - LOW_USE * load.limit
    leaving = []
    for export in inside:
        if excess <= 0:
            break
        leaving.append(export)
        excess -= export.size
    return leaving


def _bring_back(
    ordered: Sequence[StoredExport],
    memory: TierLoad | None,
    returns: ReturnModel,
    *,
    now: float,
) -> Iterator[StoredExport]:
    """Return what was just used from disk and is likely to be used again soon."""
    room = _room(memory, MEMORY_FOR_RETURNS)
    for export in reversed(ordered):
        idle = now - export.used_at
        if idle > BRING_BACK_WITHIN_SECONDS:
            return
        if export.tier is not Tier.DISK or not export.imports:
            continue
        likely = returns.soon(idle, BRING_BACK_WITHIN_SECONDS) > 0.5
        if likely and export.size <= room:
            room -= export.size
            yield export


def _room(load: TierLoad | None, use: float) -> float:
    return use * load.limit - load.used if load is not None else 0.0
