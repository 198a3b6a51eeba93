"""Duration of engine selection and its load distribution with stale reports.

``python -m bench.routing`` prints the measurements as JSON.
"""

from __future__ import annotations

from collections import Counter
import json
from random import Random
import time
from typing import Final

import click

from gypsumsail.document.models import TierWeights
from gypsumsail.routing.choose import choose
from gypsumsail.routing.loads import EngineLoads
from gypsumsail.routing.models import Candidate, Chosen, ImportablePrefix, RouteRequest
from gypsumsail.routing.policies import POLICIES, Policy
from gypsumsail.routing.sample import sample_targets
from gypsumsail.targets.port import LoadReport

COST_WEIGHTS: Final = TierWeights(first_token=0.6, recomputed=0.3, link_use=0.1)
PROMPT_BLOCKS: Final = 100


def make_request(sequence: int, rng: Random) -> RouteRequest:
    """Return a request; a store has a random part of its prompt."""
    blocks = rng.randrange(PROMPT_BLOCKS)
    stored_prefix = ImportablePrefix(
        store_url="store", names=tuple(f"{index}.g" for index in range(blocks))
    )
    return RouteRequest(
        customer=f"customer-{sequence % 10}",
        prompt_tokens=PROMPT_BLOCKS * 256,
        answer_tokens=100,
        priority=5,
        deadline=60.0,
        sequence=sequence,
        stored_prefixes=(stored_prefix,) if blocks else (),
    )


def make_loads(engines: int, rng: Random) -> EngineLoads:
    """Return random engine loads that were sampled 0.5 s ago."""
    loads = EngineLoads()
    for index in range(engines):
        report = LoadReport(
            incarnation="1",
            running=rng.randrange(8),
            waiting=rng.randrange(3),
            queued_prompt_tokens=rng.randrange(20_000),
            cache_used=0,
            cache_limit=1,
            age=0.5,
        )
        loads.on_report(f"engine-{index}", report, now=100.0)
    return loads


def make_candidates(loads: EngineLoads, rng: Random) -> list[Candidate]:
    """Return the candidates of a request; one engine has a part of it cached."""
    targets = list(loads.engines)
    cached = {rng.choice(targets): rng.randrange(PROMPT_BLOCKS)}
    return [
        loads.candidate(
            target,
            cached_blocks=cached.get(target, 0),
            priority=5,
            round_trip_seconds=0.001,
            now=100.1,
        )
        for target in sample_targets(targets, cached, rng)
    ]


def measure(name: str, policy: Policy, engines: int, count: int, seed: int) -> object:
    """Return the duration of a choice and the busiest engine's share of requests."""
    rng = Random(seed)
    loads = make_loads(engines, rng)
    requests = [make_request(index, rng) for index in range(count)]
    started_at = time.perf_counter()
    candidates = [make_candidates(loads, rng) for _ in requests]
    candidates_ready_at = time.perf_counter()
    targets: Counter[str] = Counter()
    for request, found in zip(requests, candidates, strict=True):
        choice = choose(policy, request, found, COST_WEIGHTS, rng)
        if isinstance(choice, Chosen):
            targets[choice.target] += 1
    chosen_at = time.perf_counter()
    return {
        "policy": name,
        "engines": engines,
        "view_microseconds": round((candidates_ready_at - started_at) / count * 1e6, 1),
        "choice_microseconds": round(
            (chosen_at - candidates_ready_at) / count * 1e6, 1
        ),
        "busiest_share": round(max(targets.values()) / count, 3),
    }


@click.command()
@click.option("--count", default=500, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(count: int, seed: int) -> None:
    """Measure every policy with several numbers of engines."""
    # Engines of the long services in bench/layouts.py and of a model at target size.
    for engines in (5, 9, 84):
        for name, policy in POLICIES.items():
            print(json.dumps(measure(name, policy, engines, count, seed)))


if __name__ == "__main__":
    main()
