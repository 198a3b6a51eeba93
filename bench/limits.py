"""Duration and message sizes of admission and limit decisions.

``python -m bench.limits`` prints the measurements as JSON.
"""

from __future__ import annotations

import json
from random import Random
import time
from typing import Final

import click

from gypsumsail.limits.admission import AdmissionState, admit
from gypsumsail.limits.capacity import Capacity
from gypsumsail.limits.models import (
    AdmitRequest,
    CustomerQuota,
    DemandReport,
    DemandRow,
)
from gypsumsail.limits.share_table import ShareTable
from gypsumsail.peers.codec import dump, pack_message

# Target size: 340 entries in 5 zones.
ENTRIES_PER_ZONE: Final = 68
SERVICES: Final = 9
CUSTOMERS: Final = 1500
ACTIVE_CUSTOMERS_PER_ENTRY: Final = 17


def make_report(customers: list[str], rng: Random) -> DemandReport:
    """Return the report of an entry on one of the services.

    Demand and served rate are in tokens per second, the backlog in seconds.
    """
    active = rng.sample(customers, max(ACTIVE_CUSTOMERS_PER_ENTRY // SERVICES, 1))
    rows = tuple(
        DemandRow(customer=name, wanted=rng.random() * 9000) for name in active
    )
    return DemandReport(service="service", rows=rows, served=5600.0, backlog=0.5)


def measure_admission(count: int, rng: Random) -> float:
    """Return the microseconds of one admission."""
    quotas = {
        f"customer-{index}": CustomerQuota(share=1, limit=1e9) for index in range(100)
    }
    state = AdmissionState(quotas=quotas)
    started = time.perf_counter()
    for index in range(count):
        request = AdmitRequest(
            customer=f"customer-{index % 100}", tokens=1, priority=5, backlog=0.1
        )
        admit(request, state, index * 0.001, rng)
    return (time.perf_counter() - started) / count * 1e6


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Measure an admission, and the computation of one zone's limits for a service."""
    rng = Random(seed)
    customers = [f"customer-{index}" for index in range(CUSTOMERS // SERVICES)]
    quotas = {name: CustomerQuota(share=1.0, limit=1000.0) for name in customers}
    table = ShareTable(
        "service", "a", capacity=Capacity(admitted_rate=1e5, overloaded=True)
    )
    reports = [make_report(customers, rng) for _ in range(ENTRIES_PER_ZONE)]
    for zone in ("b", "c", "d", "e"):
        other = ShareTable("service", zone)
        for entry, report in enumerate(reports):
            other.on_report(str(entry), report, now=0.0)
        table.on_zone(other.zone_demand(), now=0.0)
    started = time.perf_counter()
    for entry, report in enumerate(reports):
        table.on_report(str(entry), report, now=0.0)
    grants = [table.grant(str(entry), quotas) for entry in range(ENTRIES_PER_ZONE)]
    table.update(quotas, now=0.1)
    seconds = time.perf_counter() - started
    figures = {
        "admission_microseconds": round(measure_admission(20_000, rng), 2),
        "owner_round_milliseconds": round(seconds * 1e3, 2),
        "report_bytes": len(dump(pack_message(reports[0]))),
        "grant_bytes": len(dump(pack_message(grants[0]))),
        "zone_demand_bytes": len(dump(pack_message(table.zone_demand()))),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
