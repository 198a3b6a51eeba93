"""Demand on one service and the rates granted, as tracked by its owner."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, isfinite, sqrt

from gypsumsail.limits.capacity import Capacity
from gypsumsail.limits.const import (
    LINK_CUSTOMER,
    REPORT_LIFETIME_SECONDS,
    ZONE_LIFETIME_SECONDS,
)
from gypsumsail.limits.fair_share import Claim, fair_level, max_min_shares
from gypsumsail.limits.models import (
    DemandReport,
    DemandRow,
    QuotasByCustomer,
    ShareGrant,
    ShareRow,
    ZoneDemand,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class DemandSource:
    """Demand of one entry, or of another zone as a whole.

    Attributes
    ----------
    wanted
        Tokens (bytes for `LINK_CUSTOMER`) per second by customer.
    entries
        Number of entries that the source stands for.
    expires_at
        Time after which the source no longer counts.
    """

    wanted: dict[str, float]
    entries: int
    served: float
    backlog: float
    expires_at: float

    def wanted_tokens(self) -> float:
        """Return the demand of all customers in tokens per second."""
        return sum(
            wanted
            for customer, wanted in self.wanted.items()
            if customer != LINK_CUSTOMER
        )


@dataclass(slots=True)
class ShareTable:
    """Demand on one service at the owner in a zone.

    Attributes
    ----------
    sources
        Entries of the zone and the other zones, by name.
    rates
        Rates over all entries of the customers limited in this round.
    """

    service: str
    zone: str
    capacity: Capacity = field(default_factory=Capacity)
    sources: dict[str, DemandSource] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)

    def on_report(self, entry: str, report: DemandReport, *, now: float) -> None:
        """Record the report of an entry in this zone."""
        self.sources[f"entry/{entry}"] = DemandSource(
            wanted=_wanted(report.rows),
            entries=1,
            served=report.served,
            backlog=report.backlog,
            expires_at=now + REPORT_LIFETIME_SECONDS,
        )

    def on_zone(self, demand: ZoneDemand, *, now: float) -> None:
        """Record the demand of another zone.

        The demand counts for `ZONE_LIFETIME_SECONDS` after the zone was last heard
        from. Its part of each limit therefore stays reserved during a short partition
        of the zones. Otherwise both zones would use that part.
        """
        if demand.zone == self.zone:
            return
        self.sources[f"zone/{demand.zone}"] = DemandSource(
            wanted=_wanted(demand.rows),
            entries=max(demand.entries, 1),
            served=demand.served,
            backlog=demand.backlog,
            expires_at=now + ZONE_LIFETIME_SECONDS,
        )
        if self.capacity.overloaded and demand.capacity > 0:
            self.capacity.estimate = (self.capacity.estimate + demand.capacity) / 2

    def update(self, quotas: QuotasByCustomer, *, now: float) -> None:
        """Drop expired sources, update the capacity and set the rates of the round."""
        self.sources = {
            name: source
            for name, source in self.sources.items()
            if source.expires_at > now
        }
        sources = self.sources.values()
        self.capacity.update(
            served=sum(source.served for source in sources),
            wanted=sum(source.wanted_tokens() for source in sources),
            backlog=max((source.backlog for source in sources), default=0.0),
        )
        self.rates = self.customer_rates(quotas)

    def zone_demand(self) -> ZoneDemand:
        """Return the demand of this zone's entries for the other zones."""
        own = [
            source for name, source in self.sources.items() if name.startswith("entry/")
        ]
        total = _sum_wanted(own)
        return ZoneDemand(
            service=self.service,
            zone=self.zone,
            rows=tuple(
                DemandRow(customer=customer, wanted=wanted)
                for customer, wanted in sorted(total.items())
            ),
            entries=len(own),
            served=sum(source.served for source in own),
            backlog=max((source.backlog for source in own), default=0.0),
            capacity=self.capacity.estimate if self.capacity.overloaded else 0.0,
        )

    def grant(self, entry: str, quotas: QuotasByCustomer) -> ShareGrant:
        """Return the rates at which an entry may admit each limited customer.

        A customer that appeared after the start of the round gets its full limit.
        """
        name = f"entry/{entry}"
        own = self.sources.get(name)
        rates = {
            customer: self.rates.get(customer, quotas[customer].limit)
            for customer in sorted(own.wanted if own is not None else ())
            if customer in quotas
        }
        rows = [
            ShareRow(customer=customer, rate=self._entry_rate(name, customer, rate))
            for customer, rate in rates.items()
            if isfinite(rate)
        ]
        return ShareGrant(
            service=self.service,
            rows=tuple(rows),
            overloaded=self.capacity.overloaded,
        )

    def customer_rates(self, quotas: QuotasByCustomer) -> dict[str, float]:
        """Return the rates over all entries of the customers limited now."""
        total = _sum_wanted(self.sources.values())
        limits = {
            customer: quotas[customer].limit
            for customer in total
            if customer in quotas and isfinite(quotas[customer].limit)
        }
        if not self.capacity.overloaded:
            return limits
        claims = [
            Claim(
                name=customer,
                weight=quotas[customer].share,
                wanted=min(wanted, limits.get(customer, wanted)),
            )
            for customer, wanted in total.items()
            if customer in quotas and quotas[customer].share > 0
        ]
        level = fair_level(self.capacity.admitted_rate, claims)
        shares = {
            claim.name: min(level * claim.weight, limits.get(claim.name, inf))
            for claim in claims
        }
        return limits | shares

    def _entry_rate(self, name: str, customer: str, rate: float) -> float:
        """Return one entry's part of a customer's rate.

        Each entry also gets the unused rate divided by the square root of the number of
        entries with demand of the customer; another zone with such demand counts with
        all of its entries. Requests arrive unevenly, so that equal parts would refuse
        some requests of a customer below its limit. Until the next round the entries
        together may therefore exceed the rate.
        """
        claims = [
            Claim(name=source, weight=held.entries, wanted=held.wanted[customer])
            for source, held in self.sources.items()
            if customer in held.wanted
        ]
        shares = max_min_shares(rate, claims)
        unused = max(rate - sum(shares.values()), 0.0)
        weight = sum(claim.weight for claim in claims)
        return shares[name] + unused / sqrt(weight)


def _wanted(rows: Iterable[DemandRow]) -> dict[str, float]:
    return {row.customer: row.wanted for row in rows if row.wanted > 0}


def _sum_wanted(sources: Iterable[DemandSource]) -> dict[str, float]:
    total: dict[str, float] = {}
    for source in sources:
        for customer, wanted in source.wanted.items():
            total[customer] = total.get(customer, 0.0) + wanted
    return total
