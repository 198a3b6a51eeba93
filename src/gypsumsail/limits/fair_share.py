"""Weighted max-min fairness."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Demand and weight of one party that shares a capacity."""

    name: str
    weight: float
    wanted: float


def max_min_shares(capacity: float, claims: Sequence[Claim]) -> dict[str, float]:
    """Return the share of each claim under weighted max-min fairness.

    Each claim gets its demand, or its fair part of the remaining capacity if that is
    less. Capacity that a claim does not need is divided among the others by weight. The
    shares never add up to more than the capacity. A claim without weight gets nothing.
    """
    shares = {claim.name: 0.0 for claim in claims}
    open_claims = [claim for claim in claims if claim.weight > 0 and claim.wanted > 0]
    open_claims.sort(key=lambda claim: claim.wanted / claim.weight)
    left = max(capacity, 0.0)
    weight = sum(claim.weight for claim in open_claims)
    for claim in open_claims:
        share = min(claim.wanted, left * min(claim.weight / weight, 1.0))
        shares[claim.name] += share
        left -= share
        weight -= claim.weight
        if weight <= 0:
            break
    return shares


def fair_level(capacity: float, claims: Sequence[Claim]) -> float:
    """Return the amount per unit of weight up to which each claim may grow.

    This is the water level of max-min fairness: claims that demand more get exactly
    this amount. If all claims are satisfied, it is the highest share per weight plus
    the unused capacity per weight.
    """
    weight = sum(claim.weight for claim in claims)
    if weight <= 0:
        return 0.0
    shares = max_min_shares(capacity, claims)
    left = max(capacity - sum(shares.values()), 0.0)
    highest = max(
        shares[claim.name] / claim.weight for claim in claims if claim.weight > 0
    )
    return highest + left / weight
