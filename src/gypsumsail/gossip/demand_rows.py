"""Demand of routes among the service loads that VMs exchange.

It has rows of its own, under a name that no service has. Builds that don't know them
keep them as the loads of a service without targets.
"""

from __future__ import annotations

from collections.abc import Mapping

from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gossip.messages import ServiceLoad
from gypsumsail.placing.prompt_mix import Demand, demand_name


def demand_rows(service: str, demand: Mapping[str, Demand]) -> list[ServiceLoad]:
    """Return the rows of the demand of a service's routes.

    The tokens per second take the place of the work, and the calls that of the load.
    """
    return [
        ServiceLoad(
            service=demand_name(service, route),
            calls=0,
            work_ms=round(found.tokens_per_second),
            arriving_ms_per_second=round(
                found.calls_per_second * MILLISECONDS_PER_SECOND
            ),
        )
        for route, found in demand.items()
    ]
