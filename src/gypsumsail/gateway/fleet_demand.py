"""Demand for the engines of a service at all VMs."""

from __future__ import annotations

from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.arrivals import PeerServiceLoad
from gypsumsail.gateway.const import USABLE_MEMORY_SHARE
from gypsumsail.gateway.fleet_view import FleetView
from gypsumsail.gateway.models import Service
from gypsumsail.placing.const import MIN_RATE_SAMPLES
from gypsumsail.placing.pools import EnginePools, route_prompts
from gypsumsail.placing.prompt_mix import Demand, RoutePrompts, demand_name


def prompts_of_fleet(
    view: FleetView, service: Service, pools: EnginePools, now: float
) -> list[RoutePrompts]:
    """Return the prompts of the routes that this VM has calls of, over all VMs.

    There are none until the speed of the engines is known: with an assumed speed, fast
    engines would be divided for no reason.
    """
    rate = view.targets.rate(service.name)
    if service.engine is None or rate.samples < MIN_RATE_SAMPLES:
        return []
    memory = service.engine.memory_tokens * USABLE_MEMORY_SHARE
    found = []
    for route, own in pools.own_demand(now).items():
        peers = view.peer_service_load(demand_name(service.name, route), now)
        demand = own.plus(_demand_of_peers(peers))
        concurrent = min(
            memory * demand.calls_per_second / max(demand.tokens_per_second, 1.0),
            service.engine.slots,
        )
        seconds = view.targets.answer_time(route).mean
        if seconds is None:
            seconds = view.targets.generation_time(route).seconds
        prompts = route_prompts(
            route,
            pools.goals[route],
            demand,
            rate.tokens_per_second,
            seconds / max(concurrent, 1.0),
        )
        if prompts is not None:
            found.append(prompts)
    return found


def _demand_of_peers(load: PeerServiceLoad) -> Demand:
    """Return the demand that the rows of the other VMs add up to.

    The tokens per second take the place of the milliseconds of work.
    """
    return Demand(
        calls_per_second=load.offered_load,
        tokens_per_second=load.queued_work_seconds * MILLISECONDS_PER_SECOND,
    )
