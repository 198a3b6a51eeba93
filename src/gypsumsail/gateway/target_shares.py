"""Capacity of targets of which this VM may use only a share: limited and cold ones."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from gypsumsail.gateway.arrivals import PeerServiceLoad
from gypsumsail.gateway.const import WARM_TOGETHER_SECONDS
from gypsumsail.gateway.fleet_view import FleetView
from gypsumsail.gateway.models import Service
from gypsumsail.gateway.queue_policy import Capacity
from gypsumsail.gateway.targets import TargetState


def is_unrestricted(state: TargetState, now: float) -> bool:
    """Return whether a target has neither a limit nor is cold."""
    return state.limit.calls_per_second is None and not state.cold.is_cold(now)


def seconds_until_allowed(state: TargetState, view: FleetView, now: float) -> float:
    """Return the seconds until a target may get a call of this VM."""
    seconds = state.seconds_until_allowed(view.limit_sharing, now)
    if state.cold.terms is None:
        return seconds
    return max(seconds, state.cold.seconds_until_allowed(view.cold_sharing, now))


def own_workers(
    states: Iterable[TargetState],
    view: FleetView,
    service: Service,
    usual_work: float,
    now: float,
) -> float:
    """Return the workers to which this VM's shares of the targets correspond.

    Parameters
    ----------
    usual_work
        Average seconds for which a call occupies an engine.
    """
    return sum(
        _own_workers(state, view, service, usual_work, now)
        for state in states
        if not is_unrestricted(state, now)
    )


def _own_workers(
    state: TargetState, view: FleetView, service: Service, usual_work: float, now: float
) -> float:
    work, most = usual_work, 1.0
    if service.engine is None:
        work, most = state.usual_seconds, float(state.entry.slots)
    shares = []
    limit = state.limit.calls_per_second
    if limit is not None:
        ring = view.limit_sharing.ring(now)
        vms = len(ring.members) if ring is not None else view.vms()
        shares.append(min(limit * work, most) / vms)
    if state.cold.is_cold(now):
        # It is 0 for a VM that is no permitted sender, whose interval is infinite.
        shares.append(min(work / state.cold.interval(view.cold_sharing, now), most))
    return min(shares)


def capacity_when_warm(
    states: Sequence[TargetState],
    service: Service,
    peers: PeerServiceLoad,
    own_offered_load: float,
    now: float,
) -> Capacity | None:
    """Return the capacity once the first cold targets are warm; ``None`` without any.

    Cold targets that become warm shortly after the first one count as well.
    """
    if service.cold is None:
        return None
    waits = [state.cold.seconds_left(now) for state in states]
    first = min((wait for wait in waits if wait), default=0.0)
    if not first:
        return None
    workers = [
        1 if service.engine is not None else state.entry.slots
        for state, wait in zip(states, waits, strict=True)
        if wait <= first + WARM_TOGETHER_SECONDS
        and state.limit.calls_per_second is None
    ]
    return Capacity(
        workers=sum(workers),
        backlog_seconds=first,
        peer_queued_work_seconds=peers.queued_work_seconds,
        offered_load=own_offered_load + peers.offered_load,
    )
