"""Constants of the division of engines by kinds of prompts."""

from __future__ import annotations

from typing import Final

INTERFERING_PREFILLS: Final = 3.0
"""Prefills of average length that a short prompt may find ahead of it at an engine.

If they take longer than its latency goal, the prompts interfere.
"""
RELEASE_SHARE: Final = 0.7
"""Share of that time below the goal at which an existing division ends."""
MIN_RATE_SAMPLES: Final = 3
"""Samples of the engines' prefill speed from which prompts are compared."""
DEMAND_DECAY_SECONDS: Final = 8.0
"""Time in which the weight of a call in the demand of its route falls to 1/e."""
MIN_CALLS_PER_SECOND: Final = 0.5
"""Calls of a route at all VMs below which it has no part in the division."""
MAX_ROUTES: Final = 16
"""Latest routes with prompts whose demand a VM tells the others."""
MIN_POOL_SHARE: Final = 0.1
"""Smallest share of the engines of a zone that either kind gets."""
SHORT_PROMPT_HEADROOM: Final = 1.1
"""Engines for short prompts, as a multiple of those that their mean load occupies."""
MIN_DECODE_RATIO: Final = 2.0
"""Decoding of the short prompts, as a multiple of their prefills, below which engines
are not divided.
"""
UPDATE_SECONDS: Final = 0.5
"""Interval at which the division is calculated anew."""
MIN_ENGINES_PER_ZONE: Final = 3
"""Engines of a zone below which its engines are not divided."""
