"""Tests of limits over several entries, without a network."""

from __future__ import annotations

from collections import Counter, deque
from math import inf
from random import Random

import pytest

from gypsumsail.limits.admission import AdmissionState, admit, backlog_limit
from gypsumsail.limits.bucket import TokenBucket
from gypsumsail.limits.capacity import Capacity
from gypsumsail.limits.demand import RateMeter
from gypsumsail.limits.models import (
    AdmitRequest,
    Admitted,
    CustomerQuota,
    DemandReport,
    DemandRow,
    QuotasByCustomer,
    ShareGrant,
    ShareRow,
    Shed,
    ShedReason,
)
from gypsumsail.limits.retry_budget import RetryBudget
from gypsumsail.limits.share_table import ShareTable

ENTRIES = 7
REQUEST_TOKENS = 50.0
STEP_SECONDS = 0.05
SERVED_PER_SECOND = 2000.0


class Entries:
    """Entries of one zone that report to one owner every half second."""

    def __init__(self, quotas: QuotasByCustomer) -> None:
        self.quotas = quotas
        self.table = ShareTable("claims", "a")
        self.states = [
            AdmissionState(quotas=quotas, live_entries=ENTRIES) for _ in range(ENTRIES)
        ]
        self.admitted: Counter[str] = Counter()
        self.rng = Random(1)
        self.queue = 0.0
        self.served = 0.0
        self.max_backlog = 0.0
        self.answer_seconds = 0.0
        self.answers: deque[tuple[float, float]] = deque()

    def serve(self, now: float) -> float:
        """Serve for one step; return the backlog in seconds."""
        done = min(self.queue, SERVED_PER_SECOND * STEP_SECONDS)
        self.queue -= done
        self.served += done
        self.answers.append((now + self.answer_seconds, done))
        while self.answers and self.answers[0][0] <= now:
            self.states[0].served.add(self.answers.popleft()[1], now=now)
        backlog = self.queue / SERVED_PER_SECOND
        self.max_backlog = max(self.max_backlog, backlog)
        return backlog

    def offer(self, customer: str, entry: int, now: float, backlog: float) -> None:
        request = AdmitRequest(
            customer=customer, tokens=REQUEST_TOKENS, priority=5, backlog=backlog
        )
        if isinstance(admit(request, self.states[entry], now, self.rng), Admitted):
            self.admitted[customer] += int(REQUEST_TOKENS)
            self.queue += REQUEST_TOKENS

    def round(self, now: float) -> None:
        for entry, state in enumerate(self.states):
            rows = tuple(
                DemandRow(customer=name, wanted=customer.demand.rate(now=now))
                for name, customer in state.customers.items()
            )
            report = DemandReport(
                service="claims",
                rows=rows,
                served=state.served.rate(now=now),
                backlog=state.backlog,
            )
            self.table.on_report(str(entry), report, now=now)
            state.on_grant(self.table.grant(str(entry), self.quotas), now=now)
        self.table.update(self.quotas, now=now)

    def run(
        self,
        offered: dict[str, float],
        *,
        seconds: int,
        spread: bool = True,
        start: float = 0.0,
    ) -> None:
        """Offer tokens per second to all entries, or to the first entry only."""
        owed = dict.fromkeys(offered, 0.0)
        for step in range(int(seconds / STEP_SECONDS)):
            now = start + step * STEP_SECONDS
            backlog = self.serve(now)
            for customer, rate in offered.items():
                owed[customer] += rate * STEP_SECONDS
                while owed[customer] >= REQUEST_TOKENS:
                    owed[customer] -= REQUEST_TOKENS
                    entry = self.rng.randrange(ENTRIES) if spread else 0
                    self.offer(customer, entry, now, backlog)
            if step % 10 == 9:
                self.round(now)


@pytest.mark.parametrize("spread", [False, True])
def test_a_limit_holds_on_one_entry_and_spread_over_all(spread: bool) -> None:
    entries = Entries({"ares": CustomerQuota(share=1.0, limit=1000.0)})
    entries.run({"ares": 5000.0}, seconds=60, spread=spread)
    assert 0.85 * 60_000 < entries.admitted["ares"] < 1.05 * 60_000 + 2000


def test_a_customer_below_its_limit_is_seldom_refused() -> None:
    entries = Entries({"ares": CustomerQuota(share=1.0, limit=200.0)})
    entries.run({"ares": 160.0}, seconds=120)
    assert entries.admitted["ares"] > 0.9 * 160 * 120


def test_sudden_rise_in_demand_is_limited_within_a_round() -> None:
    entries = Entries({"ares": CustomerQuota(share=1.0, limit=1000.0)})
    entries.run({"ares": 100.0}, seconds=30)
    before = entries.admitted["ares"]
    entries.run({"ares": 10_000.0}, seconds=30, start=30.0)
    # The 6 s allow for the excess at the start. While demand is low, each entry also
    # gets a part of the unused rate, so that the rates of all entries add up to about
    # 2.5 times the limit. Bursts of 2 s and one round of 0.5 s are admitted at them.
    assert entries.admitted["ares"] - before < (30 + 6) * 1000


@pytest.mark.parametrize("spread", [False, True])
def test_large_customers_do_not_starve_small_ones(spread: bool) -> None:
    names = ["large", *[f"small{index}" for index in range(4)]]
    entries = Entries({name: CustomerQuota(share=1.0, limit=inf) for name in names})
    offered = {"large": 20_000.0} | dict.fromkeys(names[1:], 200.0)
    entries.run(offered, seconds=60, spread=spread)
    for name in names[1:]:
        assert entries.admitted[name] > 0.85 * 200 * 60
    assert entries.admitted["large"] > 0.85 * 1200 * 60


@pytest.mark.parametrize("answer_seconds", [0, 15])
@pytest.mark.parametrize("load", [0.9, 1.2, 2, 4])
def test_throughput_stays_near_capacity(load: float, answer_seconds: int) -> None:
    names = [f"customer{index}" for index in range(10)]
    entries = Entries({name: CustomerQuota(share=1.0, limit=inf) for name in names})
    entries.answer_seconds = answer_seconds
    each = load * SERVED_PER_SECOND / len(names)
    entries.run(dict.fromkeys(names, each), seconds=120)
    assert entries.served > 0.965 * min(load, 1) * SERVED_PER_SECOND * 120
    assert entries.max_backlog < 4
    smallest, largest = min(entries.admitted.values()), max(entries.admitted.values())
    assert smallest > 0.8 * largest


def test_unused_share_goes_to_other_customers() -> None:
    entries = Entries(
        {name: CustomerQuota(share=1.0, limit=inf) for name in ("a", "b")}
    )
    entries.table.capacity = Capacity(admitted_rate=1000.0, overloaded=True)
    report = DemandReport(
        service="claims",
        rows=(
            DemandRow(customer="a", wanted=5000.0),
            DemandRow(customer="b", wanted=100.0),
        ),
        served=0.0,
        backlog=1.0,
    )
    entries.table.on_report("0", report, now=0.0)
    assert entries.table.customer_rates(entries.quotas)["a"] == pytest.approx(900.0)


def test_part_of_a_lost_entry_is_redistributed() -> None:
    quotas = {"ares": CustomerQuota(share=1.0, limit=1000.0)}
    table = ShareTable("claims", "a")
    rows = (DemandRow(customer="ares", wanted=1000.0),)
    report = DemandReport(service="claims", rows=rows, served=0.0, backlog=0.0)
    for entry in ("0", "1"):
        table.on_report(entry, report, now=0.0)
    table.on_report("0", report, now=2.9)
    assert table.grant("0", quotas).rows[0].rate == pytest.approx(500.0)
    table.update(quotas, now=4.0)
    assert table.grant("0", quotas).rows[0].rate == pytest.approx(1000.0)


def test_unreachable_zone_keeps_its_part_at_first() -> None:
    quotas = {"ares": CustomerQuota(share=1.0, limit=1000.0)}
    rows = (DemandRow(customer="ares", wanted=1000.0),)
    report = DemandReport(service="claims", rows=rows, served=0.0, backlog=0.0)
    here, there = ShareTable("claims", "a"), ShareTable("claims", "b")
    for table in (here, there):
        table.on_report("0", report, now=0.0)
    here.on_zone(there.zone_demand(), now=0.0)
    here.on_zone(here.zone_demand(), now=0.0)
    here.on_report("0", report, now=9.0)
    here.update(quotas, now=10.0)
    assert here.grant("0", quotas).rows[0].rate == pytest.approx(500.0)


def test_debt_of_a_large_request_delays_the_next_one() -> None:
    bucket = TokenBucket(rate=100.0, credit=10.0, updated=0.0)
    assert bucket.has_credit(now=0.0)
    bucket.consume(1010.0, now=0.0)
    assert bucket.wait(now=0.0) == pytest.approx(10.0)
    assert not bucket.has_credit(now=9.9)
    assert bucket.has_credit(now=10.1)


def test_credit_is_capped_at_the_burst_after_an_idle_hour() -> None:
    bucket = TokenBucket(rate=100.0, credit=0.0, updated=0.0)
    assert bucket.is_full(now=3600.0)
    bucket.consume(200.0, now=3600.0)
    assert not bucket.has_credit(now=3600.0)


def test_granted_rates_expire_without_a_new_grant() -> None:
    state = AdmissionState(quotas={"ares": CustomerQuota(share=1.0, limit=inf)})
    state.refresh("ares", now=0.0)
    row = ShareRow(customer="ares", rate=5.0)
    grant = ShareGrant(service="claims", rows=(row,), overloaded=True)
    state.on_grant(grant, now=0.0)
    assert state.refresh("ares", now=2.0).bucket is not None
    assert state.refresh("ares", now=9.0).bucket is None


def test_entry_without_a_grant_uses_an_equal_part_of_the_limit() -> None:
    state = AdmissionState(
        quotas={"ares": CustomerQuota(share=1.0, limit=700.0)}, live_entries=7
    )
    bucket = state.refresh("ares", now=100.0).bucket
    assert bucket is not None
    assert bucket.rate == pytest.approx(100.0)


def test_overload_sheds_the_least_urgent_first() -> None:
    limits = [backlog_limit(priority) for priority in range(10)]
    assert limits == sorted(limits, reverse=True)
    state = AdmissionState(quotas={"ares": CustomerQuota(share=1.0, limit=inf)})
    delays = set()
    for seed in range(5):
        outcomes = [
            admit(
                AdmitRequest(customer="ares", tokens=1, priority=priority, backlog=3.0),
                state,
                0.0,
                Random(seed),
            )
            for priority in range(10)
        ]
        shed = [isinstance(outcome, Shed) for outcome in outcomes]
        assert shed == [limit < 3.0 for limit in limits]
        assert isinstance(outcomes[9], Shed)
        assert outcomes[9].reason is ShedReason.OVERLOAD
        delays.add(outcomes[9].retry_after)
    assert len(delays) == 5


def test_shares_are_enforced_only_during_overload() -> None:
    capacity = Capacity()
    capacity.update(served=900.0, wanted=1000.0, backlog=0.1)
    assert not capacity.overloaded
    capacity.update(served=1000.0, wanted=4000.0, backlog=3.0)
    assert capacity.overloaded
    falling = [capacity.admitted_rate]
    for _ in range(20):
        capacity.update(served=1000.0, wanted=4000.0, backlog=3.0)
        falling.append(capacity.admitted_rate)
    assert falling == sorted(falling, reverse=True)
    capacity.update(served=0.0, wanted=4000.0, backlog=0.0)
    assert capacity.overloaded
    assert capacity.admitted_rate > falling[-1]
    capacity.update(served=0.0, wanted=100.0, backlog=0.0)
    assert not capacity.overloaded


def test_rate_meter_measures_a_steady_stream() -> None:
    rate_meter = RateMeter()
    for step in range(400):
        rate_meter.add(10.0, now=step * 0.1)
    assert rate_meter.rate(now=40.0) == pytest.approx(100.0, rel=0.05)
    assert rate_meter.rate(now=80.0) < 0.01


def test_retries_are_bounded_in_an_outage() -> None:
    budget = RetryBudget()
    for _ in range(1000):
        budget.record_success(0.0)
    taken = sum(budget.try_spend(second / 100) for second in range(6000))
    assert 20 <= taken <= 20 + 6
    for _ in range(100):
        budget.record_success(60.0)
    assert 9 <= sum(budget.try_spend(60.0) for _ in range(100)) <= 11


def test_retry_budget_recovers_without_successes() -> None:
    budget = RetryBudget(balance=0.0)
    assert not budget.try_spend(1.0)
    assert budget.try_spend(30.0)
    budget.try_spend(10_000.0)
    assert budget.balance <= 5
