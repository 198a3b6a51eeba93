"""Simulation of engines that prefill prompts between the decoding steps of streams.

A step decodes one token of each stream and prefills a piece of the first prompt.
Several VMs place calls, and learn of each other's calls from reports. Engines are slow
at times.
"""

from __future__ import annotations

from dataclasses import dataclass, field
import heapq
from math import floor
import random

from gypsumsail.gateway.placement import Candidate, Demand, Placed, place
from gypsumsail.placing.pools import EnginePools, PoolEngine
from gypsumsail.placing.prompt_mix import RoutePrompts

PREFILL_TOKENS_PER_SECOND = 25_000.0
STEP_SECONDS = 0.005
EVENT_TOKENS = 6
MAX_PAUSE_SECONDS = 0.5
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
SLOW_SECONDS = 0.6
LONG_RATE = 30.0
SHORT_RATE = 26.0
ENGINES = 24
VMS = 20
REPORT_SECONDS = 0.3
PIECE_TOKENS = 2_048
MEMORY_TOKENS = 41_000
SLOTS = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptKind:
    """Calls of one route.

    Attributes
    ----------
    rate
        Calls per second.
    output_tokens
        Tokens of the answer, one for each step.
    """

    route: str
    rate: float
    latency_goal: float
    prompt_tokens: int
    output_tokens: int


LONG = PromptKind(
    route="survey",
    rate=LONG_RATE,
    latency_goal=0.635,
    prompt_tokens=6_000,
    output_tokens=40,
)
SHORT = PromptKind(
    route="chat",
    rate=SHORT_RATE,
    latency_goal=0.415,
    prompt_tokens=600,
    output_tokens=290,
)


@dataclass(slots=True)
class _Run:
    kind: PromptKind
    arrived_at: float
    pending_tokens: int
    left: int
    vm: int
    placed_at: float = 0.0
    first_at: float = 0.0
    event_at: float = 0.0
    longest_pause: float = 0.0

    def decode(self, now: float) -> None:
        """Decode one token; several make an event."""
        self.left -= 1
        if self.first_at and self.left % EVENT_TOKENS and self.left:
            return
        if self.first_at:
            self.longest_pause = max(self.longest_pause, now - self.event_at)
        self.first_at = self.first_at or now
        self.event_at = now

    @property
    def is_in_time(self) -> bool:
        """Return whether first token and pauses were in time."""
        return (
            self.first_at - self.arrived_at <= self.kind.latency_goal
            and self.longest_pause <= MAX_PAUSE_SECONDS
        )


@dataclass(slots=True)
class _Engine:
    name: str
    zone: str
    runs: list[_Run] = field(default_factory=list)
    reported: list[tuple[PromptKind, int]] = field(default_factory=list)

    def seen_by(self, vm: int, now: float) -> list[tuple[PromptKind, int]]:
        """Return the calls that a VM knows of, with their pending tokens."""
        reported_at = floor(now / REPORT_SECONDS) * REPORT_SECONDS
        return self.reported + [
            (run.kind, run.pending_tokens)
            for run in self.runs
            if run.vm == vm and run.placed_at > reported_at
        ]

    def step(self, now: float) -> tuple[float, list[_Run]]:
        """Run one step; return its end and the runs that ended."""
        seconds = STEP_SECONDS
        slow = random.Random(f"{self.name} {floor(now / SLOW_SECONDS)}").random()
        prefilling = next((run for run in self.runs if run.pending_tokens), None)
        if prefilling is not None:
            piece = min(prefilling.pending_tokens, PIECE_TOKENS)
            prefilling.pending_tokens -= piece
            seconds += piece / PREFILL_TOKENS_PER_SECOND
        end = now + seconds * (SLOW_FACTOR if slow < SLOW_SHARE else 1.0)
        for run in self.runs:
            if run.pending_tokens:
                continue
            run.decode(end)
        ended = [run for run in self.runs if not run.left]
        self.runs = [run for run in self.runs if run.left]
        return end, ended


@dataclass(slots=True)
class Outcome:
    """Calls by route, and those whose first token was in time."""

    calls: dict[str, int] = field(default_factory=dict)
    in_time: dict[str, int] = field(default_factory=dict)
    short_seconds: list[float] = field(default_factory=list)

    def share(self, kind: PromptKind) -> float:
        """Return the share of calls of a kind whose first token was in time."""
        return self.in_time.get(kind.route, 0) / self.calls[kind.route]


def simulate(seed: int, *, divided: bool, seconds: float = 8.0) -> Outcome:
    """Simulate both kinds on the engines of three zones."""
    draws = random.Random(seed)
    engines = [_Engine(f"e{number}", f"z{number % 3}") for number in range(ENGINES)]
    pools = EnginePools("llm")
    if divided:
        pools.update(
            [prompts(LONG), prompts(SHORT)],
            [PoolEngine(name=engine.name, zone=engine.zone) for engine in engines],
            0.0,
        )
    arrivals = sorted(
        (at, kind.route, kind)
        for kind in (LONG, SHORT)
        for at in _arrivals(kind, seconds, draws)
    )
    outcome = Outcome()
    queue: list[_Run] = []
    report_at = 0.0
    steps = [(0.0, engine.name, engine) for engine in engines]
    heapq.heapify(steps)
    while steps and steps[0][0] < seconds + 5.0:
        now, name, engine = heapq.heappop(steps)
        while arrivals and arrivals[0][0] <= now:
            at, _, kind = arrivals.pop(0)
            outcome.calls[kind.route] = outcome.calls.get(kind.route, 0) + 1
            vm = draws.randrange(VMS)
            queue.append(_Run(kind, at, kind.prompt_tokens, kind.output_tokens, vm))
        if now >= report_at:
            report_at += REPORT_SECONDS
            for item in engines:
                item.reported = [(run.kind, run.pending_tokens) for run in item.runs]
        queue = [
            run for run in queue if not _try_place(run, engines, pools, draws, now)
        ]
        end, ended = engine.step(now)
        for run in ended:
            if run.is_in_time:
                count = outcome.in_time.get(run.kind.route, 0)
                outcome.in_time[run.kind.route] = count + 1
            if run.kind is SHORT:
                outcome.short_seconds.append(end - run.first_at)
        heapq.heappush(steps, (end, name, engine))
    return outcome


def prompts(kind: PromptKind) -> RoutePrompts:
    """Return the prompts of a kind."""
    return RoutePrompts(
        route=kind.route,
        latency_goal=kind.latency_goal,
        calls_per_second=kind.rate,
        prefill_seconds=kind.prompt_tokens / PREFILL_TOKENS_PER_SECOND,
        decode_share_seconds=kind.output_tokens * STEP_SECONDS / SLOTS,
    )


def _arrivals(kind: PromptKind, seconds: float, draws: random.Random) -> list[float]:
    at, found = draws.expovariate(kind.rate), []
    while at < seconds:
        found.append(at)
        at += draws.expovariate(kind.rate)
    return found


def _try_place(
    run: _Run,
    engines: list[_Engine],
    pools: EnginePools,
    draws: random.Random,
    now: float,
) -> bool:
    candidates = [_candidate(run, engine, pools, draws, now) for engine in engines]
    demand = Demand(
        tokens=run.kind.prompt_tokens + run.kind.output_tokens,
        prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
        latency_goal_seconds=run.kind.latency_goal,
        unseen_seconds=REPORT_SECONDS,
    )
    placed = place(candidates, demand)
    if not isinstance(placed, Placed):
        return False
    run.placed_at = now
    next(item for item in engines if item.name == placed.name).runs.append(run)
    return True


def _candidate(
    run: _Run,
    engine: _Engine,
    pools: EnginePools,
    draws: random.Random,
    now: float,
) -> Candidate:
    seen = engine.seen_by(run.vm, now)
    is_for_short = engine.name in pools.short_engines
    return Candidate(
        name=engine.name,
        is_in_own_zone=True,
        slots=SLOTS,
        calls=len(seen),
        tokens=sum(kind.prompt_tokens + kind.output_tokens for kind, _ in seen),
        pending_prefill_tokens=sum(pending for _, pending in seen),
        memory_tokens=MEMORY_TOKENS,
        own_prefill_tokens=run.kind.prompt_tokens,
        fetch_tokens=0,
        usual_seconds=0.1,
        failure_share=0.0,
        is_stalled=False,
        has_avoided_weights=False,
        is_reserved=is_for_short and pools.is_long(run.kind.route),
        has_long_prefills=not is_for_short and pools.is_short(run.kind.route),
        draw=draws.random(),
    )
