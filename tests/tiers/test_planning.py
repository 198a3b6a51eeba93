"""Tests of export planning, eviction, promotion, backoff and the reuse model."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.document.models import TierWeights
from gypsumsail.stores.port import StoreLoad, Tier
from gypsumsail.tiers.const import MAX_QUEUED_EXPORTS
from gypsumsail.tiers.eviction import least_valuable_first, plan_eviction
from gypsumsail.tiers.export_plan import ExportPlan, plan_export
from gypsumsail.tiers.export_queue import ExportJob, ExportQueue
from gypsumsail.tiers.health import StoreHealth
from gypsumsail.tiers.reuse import ReuseModel
from tests.context.common import STORE

from .common import HASHES, WEIGHTS, make_candidate, make_export, make_tier


def test_export_covers_only_blocks_missing_from_the_store() -> None:
    plan = plan_export(make_candidate(stored_blocks=30), WEIGHTS)
    assert plan is not None
    assert (plan.start, plan.blocks) == (30, 10)
    assert plan_export(make_candidate(stored_blocks=40), WEIGHTS) is None


def test_unprofitable_export_is_not_planned() -> None:
    assert plan_export(make_candidate(reuse_probability=0.001), WEIGHTS) is None
    slow = (make_tier("memory", bytes_per_second=1e6),)
    assert plan_export(make_candidate(tiers=slow), WEIGHTS) is None
    candidate = make_candidate(tiers=(make_tier("memory", bytes_per_second=8e6),))
    assert plan_export(candidate, WEIGHTS) is not None
    link_saving = TierWeights(first_token=0.3, recomputed=0.1, link_use=0.6)
    assert plan_export(candidate, link_saving) is None


def test_memory_tier_is_used_for_early_reuse_and_full_tiers_are_skipped() -> None:
    used = int(make_tier("memory").limit * 0.9)
    tiers = (make_tier("memory", used=used), make_tier("disk"))
    late = plan_export(make_candidate(tiers=tiers), WEIGHTS)
    soon = plan_export(
        make_candidate(tiers=tiers, early_reuse_probability=0.9), WEIGHTS
    )
    assert late is not None
    assert soon is not None
    assert (late.tier, soon.tier) == (Tier.DISK, Tier.MEMORY)
    full = tuple(replace(tier, used=tier.limit) for tier in tiers)
    assert plan_export(make_candidate(tiers=full), WEIGHTS) is None


def make_job(value: float, *, queued_at: float = 0.0, number: int = 0) -> ExportJob:
    return ExportJob(
        service="claims",
        customer="ares",
        target="e",
        store_url=STORE,
        salt="s",
        weight_version="v1",
        key=HASHES[0][:16],
        hashes=(*HASHES[:9], str(number)),
        base=(),
        plan=ExportPlan(start=0, blocks=10, tier=Tier.MEMORY, value=value),
        queued_at=queued_at,
    )


def test_full_queue_drops_the_least_valuable_exports() -> None:
    queue = ExportQueue()
    for number in range(MAX_QUEUED_EXPORTS + 50):
        queue.add(make_job(float(number % 7 + 1), number=number))
    assert len(queue.jobs) == MAX_QUEUED_EXPORTS
    assert queue.dropped == 50
    first = queue.take(now=1.0)
    assert first is not None
    assert first.plan.value == 7
    queue.add(make_job(5.0, queued_at=100.0, number=9999))
    fresh = queue.take(now=101.0)
    assert fresh is not None
    assert fresh.queued_at == 100.0
    assert queue.take(now=101.0) is None


def test_store_is_retried_with_exponential_backoff() -> None:
    health = StoreHealth()
    rng = Random(1)
    pauses = []
    now = 0.0
    for _ in range(8):
        health.on_failure(rng, now=now)
        health.on_failure(rng, now=now)
        assert not health.usable(now=now)
        pauses.append(health.unavailable_until - now)
        now = health.unavailable_until
        assert health.usable(now=now)
    assert pauses[0] < 1 < pauses[3] < pauses[7] <= 20
    health.on_success()
    health.on_failure(rng, now=now)
    assert health.unavailable_until - now < 1


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["memory", "disk"]),
            st.integers(0, 3),
            st.integers(0, 100),
            st.integers(0, 4),
        ),
        max_size=30,
    ),
    st.integers(100, 2000),
    st.integers(100, 2000),
)
def test_eviction_reaches_the_low_watermark_and_no_further(
    parts: list[tuple[str, int, int, int]], memory: int, disk: int
) -> None:
    exports = [
        make_export(
            number,
            tier=Tier(tier),
            key=f"{key:016x}",
            used_at=float(used),
            imports=imports,
            start=number,
        )
        for number, (tier, key, used, imports) in enumerate(parts)
    ]
    used = {
        tier: sum(export.size for export in exports if export.tier is tier)
        for tier in Tier
    }
    tiers = (
        make_tier("memory", used=used[Tier.MEMORY], limit=memory),
        make_tier("disk", used=used[Tier.DISK], limit=disk),
    )
    load = StoreLoad(incarnation="1", tiers=tiers, sequence=1)
    plan = plan_eviction(exports, load, ReuseModel(), now=100.0)
    gone = {id(export) for export in (*plan.free, *plan.to_disk)}
    assert len(gone) == len(plan.free) + len(plan.to_disk)
    for tier, limit in ((Tier.MEMORY, memory), (Tier.DISK, disk)):
        left = [e for e in exports if e.tier is tier and id(e) not in gone]
        size = sum(export.size for export in left)
        if used[tier] <= 0.9 * limit:
            assert size == used[tier]
        else:
            assert 0.8 * limit - 100 <= size <= 0.8 * limit
    moved = sum(export.size for export in plan.to_disk)
    assert not plan.to_disk or used[Tier.DISK] + moved <= 0.9 * disk


def test_store_that_always_reports_full_is_not_emptied() -> None:
    exports = [make_export(number) for number in range(5)]
    tiers = (make_tier("memory", used=100_000, limit=100_000),)
    load = StoreLoad(incarnation="1", tiers=tiers, sequence=1)
    assert not plan_eviction(exports, load, ReuseModel(), now=100.0).free


def test_prompt_ends_and_exports_without_imports_are_evicted_first() -> None:
    key = f"{7:016x}"
    head, end = make_export(1, key=key), make_export(2, key=key, start=10)
    end.used_at = 90.0
    idle = make_export(3, used_at=50.0)
    imported = make_export(4, used_at=50.0, imports=2)
    ordered = least_valuable_first([imported, head, end, idle], now=100.0)
    assert ordered[0] is idle
    assert ordered.index(end) < ordered.index(head)
    assert ordered.index(idle) < ordered.index(imported)


def test_reused_export_is_promoted_to_memory() -> None:
    reuse = ReuseModel()
    for _ in range(20):
        reuse.observe("ares", 20.0)
    used = make_export(1, tier=Tier.DISK, imports=1, used_at=99.0)
    never = make_export(2, tier=Tier.DISK, used_at=99.0)
    old = make_export(3, tier=Tier.DISK, imports=1, used_at=0.0)
    load = StoreLoad(
        incarnation="1", tiers=(make_tier("memory"), make_tier("disk")), sequence=1
    )
    plan = plan_eviction([used, never, old], load, reuse, now=100.0)
    assert plan.to_memory == (used,)


def test_reuse_is_estimated_per_customer() -> None:
    reuse = ReuseModel()
    assert reuse.probability("new") == pytest.approx(0.5)
    for number in range(200):
        reuse.observe("loyal", 3600.0 if number % 10 else None)
        reuse.observe("passing", 3600.0 if number % 10 == 0 else None)
    assert reuse.probability("loyal") > 0.8
    assert reuse.probability("passing") < 0.2
    assert reuse.probability_within(0.0, 60.0) < 0.05
    assert reuse.probability_within(3000.0, 3000.0) > 0.9
