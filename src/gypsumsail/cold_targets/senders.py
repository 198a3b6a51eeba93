"""Chooses the VMs that may send to a cold target, and the spacing of their sends.

The senders are the first VMs by rendezvous hash over the VMs of the target's zone. Two
sets of senders may exist at once, so the spacing keeps twice the number of senders
within the bound.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from math import floor, inf

from gypsumsail.cold_targets.const import (
    MAX_DIVIDED_SENDER_SETS,
    MAX_SENDERS,
    SPACING_MARGIN,
)
from gypsumsail.cold_targets.models import ColdBound
from gypsumsail.core.rendezvous import rank


@dataclass(frozen=True, slots=True, kw_only=True)
class SenderPlan:
    """How many VMs may send to one cold target, and how often.

    Attributes
    ----------
    senders
        Number of permitted senders.
    interval
        Shortest time in seconds between two sends of one of them.
    """

    senders: int
    interval: float


@dataclass(slots=True, kw_only=True)
class ColdSharing:
    """What a VM needs to know to share the rate of cold targets with the other VMs.

    Attributes
    ----------
    host
        This VM among the members.
    zone
        Zone of this VM.
    members
        Returns the hosts of all VMs of this zone, which is the same object until they
        change; ``None`` while this VM does not know them.
    bound
        Bound on the requests that a cold target gets.
    """

    host: str = ""
    zone: str = ""
    members: Callable[[float], frozenset[str] | None] = lambda now: None
    bound: ColdBound = field(default_factory=ColdBound)


@lru_cache(maxsize=256)
def sender_plan(per_second: float, bound: float, vms: int) -> SenderPlan:
    """Return the plan with the highest rate that keeps the bound.

    Parameters
    ----------
    per_second
        Rate that the target tolerates.
    bound
        Requests that the target may get in any second.
    vms
        Number of VMs in the zone of the target.
    """
    most = max(min(vms, floor(min(per_second / 2, MAX_SENDERS))), 1)
    best = SenderPlan(senders=1, interval=max(1 / per_second, 1.0) * SPACING_MARGIN)
    best_rate = 0.0
    for senders in range(1, most + 1):
        # Sends of one VM that the bound allows in any second.
        sends = floor(bound / (MAX_DIVIDED_SENDER_SETS * senders))
        if sends < 1:
            break
        interval = max(senders / per_second, 1 / sends) * SPACING_MARGIN
        rate = senders / interval
        if rate >= best_rate * (1 - 1e-9):
            best, best_rate = SenderPlan(senders=senders, interval=interval), rate
    return best


def send_interval(
    key: str, sharing: ColdSharing, members: frozenset[str], per_second: float
) -> float:
    """Return the seconds between two sends of this VM; infinite if it may not send.

    Parameters
    ----------
    key
        Name and life of the target.
    members
        Hosts of the VMs of the target's zone.
    per_second
        Rate that the target tolerates.
    """
    bound = sharing.bound.requests(per_second)
    plan = sender_plan(per_second, bound, len(members))
    if sharing.host not in rank(key, members)[: plan.senders]:
        return inf
    return plan.interval
