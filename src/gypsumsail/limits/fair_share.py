"""Weighted max-min fairness."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """What one party wants of a common good, and its weight."""

    name: str
    weight: float
    wanted: float


def max_min_shares(capacity: float, claims: Sequence[Claim]) -> dict[str, float]:
    """Return what each gets: what it wants, or its fair part of the rest.

    What one doesn't want is lent to the others by their weights. The sum is never
    above the capacity. A claim without weight gets nothing.
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
    """Return the amount per weight up to which each claim may grow.

    Claims that want more get just this; where all get what they want, it lies
    above them by an even part of what is left.
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
