"""Builders of test data for routing."""

from __future__ import annotations

from typing import Any, Final

from gypsumsail.document.models import TierWeights
from gypsumsail.routing.models import (
    Candidate,
    EngineRates,
    ImportablePrefix,
    RouteRequest,
)
from gypsumsail.targets.port import LoadReport

WEIGHTS: Final = TierWeights(first_token=0.6, recomputed=0.3, link_use=0.1)
RATES: Final = EngineRates(prefill_tokens_per_second=1000.0, decode_step_seconds=0.01)


def make_request(**changes: Any) -> RouteRequest:
    """Return a request with a prompt of 10 blocks and ample time."""
    values: dict[str, Any] = {
        "customer": "ares",
        "prompt_tokens": 2560,
        "answer_tokens": 10,
        "priority": 5,
        "deadline": 60.0,
    }
    return RouteRequest(**(values | changes))


def make_candidate(target: str, **changes: Any) -> Candidate:
    """Return an idle engine."""
    values: dict[str, Any] = {"target": target, "rates": RATES}
    return Candidate(**(values | changes))


def make_importable_prefix(blocks: int, **changes: Any) -> ImportablePrefix:
    """Return a stored prefix with a number of blocks."""
    values: dict[str, Any] = {
        "store_url": "http://store",
        "names": tuple(f"{index}.g" for index in range(blocks)),
        "block_bytes": 1000,
        "bytes_per_second": 100_000.0,
    }
    return ImportablePrefix(**(values | changes))


def make_report(**changes: Any) -> LoadReport:
    """Return the load report of an idle engine."""
    values: dict[str, Any] = {
        "incarnation": "1",
        "running": 0,
        "waiting": 0,
        "queued_prompt_tokens": 0,
        "cache_used": 0,
        "cache_limit": 100_000,
        "age": 0.0,
    }
    return LoadReport(**(values | changes))
