"""Selection of exports to evict from a tier or to promote to memory."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from gypsumsail.context.store_view import StoredExport
from gypsumsail.stores.port import StoreLoad, Tier, TierLoad
from gypsumsail.tiers.const import (
    HIGH_WATERMARK,
    IMPORT_WEIGHT,
    LOW_WATERMARK,
    MEMORY_ADMISSION_SHARE,
    PROMOTION_WINDOW_SECONDS,
)
from gypsumsail.tiers.reuse import ReuseModel


@dataclass(frozen=True, slots=True, kw_only=True)
class EvictionPlan:
    """Exports to free, to move to disk and to promote to memory."""

    free: tuple[StoredExport, ...] = ()
    to_disk: tuple[StoredExport, ...] = ()
    to_memory: tuple[StoredExport, ...] = ()


def plan_eviction(
    exports: Iterable[StoredExport],
    load: StoreLoad,
    reuse: ReuseModel,
    *,
    now: float,
) -> EvictionPlan:
    """Return the exports to evict from tiers that are nearly full, or to promote.

    Exports in memory are moved to disk while the disk has room and are freed
    otherwise. The exports that are least likely to be used again are evicted first,
    and the end of a prompt before its start. Exports are promoted only if none is
    evicted from memory.

    Bytes that the store reports as used but does not list cannot be freed and are not
    counted, so a store that always reports itself full is not emptied.
    """
    tiers = {tier.tier: tier for tier in load.tiers}
    ordered = least_valuable_first(exports, now=now)
    evicted_from_disk = _select_evicted(tiers.get(Tier.DISK), ordered, Tier.DISK)
    evicted = _select_evicted(tiers.get(Tier.MEMORY), ordered, Tier.MEMORY)
    disk_room_bytes = _available_bytes(tiers.get(Tier.DISK), HIGH_WATERMARK)
    moved: list[StoredExport] = []
    freed = list(evicted_from_disk)
    for export in evicted:
        if export.size <= disk_room_bytes:
            disk_room_bytes -= export.size
            moved.append(export)
        else:
            freed.append(export)
    promoted: list[StoredExport] = []
    if not evicted:
        promoted = list(
            _select_promoted(ordered, tiers.get(Tier.MEMORY), reuse, now=now)
        )
    return EvictionPlan(
        free=tuple(freed), to_disk=tuple(moved), to_memory=tuple(promoted)
    )


def least_valuable_first(
    exports: Iterable[StoredExport], *, now: float
) -> list[StoredExport]:
    """Return the exports in order of eviction.

    The order follows the idle time, reduced for exports with imports. All exports
    of a prompt count as used when the most recent of them was, because later blocks
    are useless without the blocks before them.
    """
    known = list(exports)
    last_used: dict[str, float] = {}
    imports: dict[str, int] = {}
    for export in known:
        key = export.generation.key
        last_used[key] = max(last_used.get(key, export.used_at), export.used_at)
        imports[key] = max(imports.get(key, 0), export.imports)

    def sort_key(export: StoredExport) -> tuple[float, str, int]:
        key = export.generation.key
        idle = max(now - last_used[key], 0.0)
        eviction_priority = idle / (1 + IMPORT_WEIGHT * min(imports[key], 3))
        return (-eviction_priority, key, -export.generation.start)

    return sorted(known, key=sort_key)


def _select_evicted(
    load: TierLoad | None, ordered: Sequence[StoredExport], tier: Tier
) -> list[StoredExport]:
    in_tier = [export for export in ordered if export.tier is tier]
    listed = sum(export.size for export in in_tier)
    if load is None or min(load.used, listed) <= HIGH_WATERMARK * load.limit:
        return []
    excess = min(load.used, listed) - LOW_WATERMARK * load.limit
    evicted = []
    for export in in_tier:
        if excess <= 0:
            break
        evicted.append(export)
        excess -= export.size
    return evicted


def _select_promoted(
    ordered: Sequence[StoredExport],
    memory: TierLoad | None,
    reuse: ReuseModel,
    *,
    now: float,
) -> Iterator[StoredExport]:
    """Yield recently imported exports on disk that are likely to be reused soon."""
    memory_room_bytes = _available_bytes(memory, MEMORY_ADMISSION_SHARE)
    for export in reversed(ordered):
        idle = now - export.used_at
        if idle > PROMOTION_WINDOW_SECONDS:
            return
        if export.tier is not Tier.DISK or not export.imports:
            continue
        likely = reuse.probability_within(idle, PROMOTION_WINDOW_SECONDS) > 0.5
        if likely and export.size <= memory_room_bytes:
            memory_room_bytes -= export.size
            yield export


def _available_bytes(load: TierLoad | None, max_share: float) -> float:
    """Return the bytes that a tier may take up to ``max_share`` of its limit."""
    return max_share * load.limit - load.used if load is not None else 0.0
