"""What this VM believes of each target, and the calls that it has there."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp

from gypsumsail.gateway.const import (
    DURATION_WEIGHT,
    FAILURE_DECAY_SECONDS,
    INITIAL_PLAIN_SECONDS,
    INITIAL_PREFILL_TOKENS_PER_SECOND,
    INITIAL_RUN_SECONDS,
    MAX_BLOCK_SECONDS,
    MAX_LOADING_SECONDS,
    MIN_BLOCK_SECONDS,
    MIN_PREFILL_SAMPLE_TOKENS,
    PEER_LOAD_MAX_AGE_SECONDS,
    PREFILL_RATE_WEIGHT,
    REJECTION_PAUSE_SECONDS,
    REPORTED_LOAD_MAX_AGE_SECONDS,
    STALL_MIN_REPORTS,
    STALL_SECONDS,
    UNREACHABLE_MIN_REPORTS,
    UNREACHABLE_REPORT_MAX_AGE_SECONDS,
)
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.part_cache import PartCache


@dataclass(slots=True, kw_only=True)
class InFlightCall:
    """One call of this VM at a target.

    Attributes
    ----------
    tokens
        Memory that the run takes at its end.
    pending_prefill_tokens
        Prompt tokens that the target has to read before the first token.
    tokens_ahead
        Prompt tokens of other calls that it was to read before.
    expected_at
        Time at which the next sign of progress is due.
    """

    tokens: int
    pending_prefill_tokens: int
    tokens_ahead: int
    began_at: float
    progress_at: float
    expected_at: float
    has_begun: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoad:
    """What another VM has at a target."""

    calls: int
    tokens: int
    pending_prefill_tokens: int
    at: float
    is_stalled: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLoad:
    """What a target said of its load in an answer."""

    running: int
    waiting: int
    at: float


@dataclass(slots=True, kw_only=True)
class PrefillRate:
    """Speed at which the engines of a service read prompts, in tokens a second."""

    tokens_per_second: float = INITIAL_PREFILL_TOKENS_PER_SECOND

    def observe(self, tokens: int, seconds: float) -> None:
        """Take the time in which an engine read known work."""
        if tokens < MIN_PREFILL_SAMPLE_TOKENS or seconds <= 0:
            return
        seen = tokens / seconds
        self.tokens_per_second += PREFILL_RATE_WEIGHT * (seen - self.tokens_per_second)


@dataclass(slots=True, kw_only=True)
class RunTime:
    """Time for which the generations of a route hold an engine."""

    seconds: float = INITIAL_RUN_SECONDS

    def observe(self, seconds: float) -> None:
        """Take the time from a send to the end of its stream."""
        self.seconds += DURATION_WEIGHT * (seconds - self.seconds)


@dataclass(slots=True)
class TargetState:
    """Beliefs on one life of a target.

    Attributes
    ----------
    blocked_until
        Time before which it gets no call, as it could not be connected.
    needs_check
        Whether it gets no call before a connection opens.
    connected_at
        Time at which a connection to it opened last.
    unreachable_reports
        Times at which other VMs of the zone said that they can't reach it.
    loading_until
        Time until which it is taken to load other weights.
    usual_seconds
        Duration of a call there, with the time in the target's own queue.
    """

    entry: TargetEntry
    cache: PartCache
    is_leaving: bool = False
    in_flight: dict[int, InFlightCall] = field(default_factory=dict)
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    reported: ReportedLoad | None = None
    weight_versions: dict[str, int] = field(default_factory=dict)
    blocked_until: float = 0.0
    block_seconds: float = 0.0
    needs_check: bool = False
    connected_at: float = float("-inf")
    unreachable_reports: dict[str, float] = field(default_factory=dict)
    loading_until: float = 0.0
    failures: float = 0.0
    results: float = 0.0
    result_at: float = 0.0
    usual_seconds: float = INITIAL_PLAIN_SECONDS
    progress_at: float = 0.0
    next_in_flight_id: int = 0

    def begin(self, in_flight_call: InFlightCall) -> int:
        """Add a call and return its number."""
        self.next_in_flight_id += 1
        self.in_flight[self.next_in_flight_id] = in_flight_call
        return self.next_in_flight_id

    def record_progress(self, number: int, now: float, expected_within: float) -> None:
        """Note that a call made progress."""
        self.progress_at = now
        in_flight_call = self.in_flight.get(number)
        if in_flight_call is None:
            return
        in_flight_call.has_begun = True
        in_flight_call.pending_prefill_tokens = 0
        in_flight_call.progress_at = now
        in_flight_call.expected_at = now + expected_within

    def end(self, number: int) -> None:
        """Remove a call."""
        self.in_flight.pop(number, None)

    def peer_loads(self, now: float) -> Iterable[PeerLoad]:
        """Return what is believed of the other VMs' calls."""
        return (
            load
            for load in self.peers.values()
            if now - load.at < PEER_LOAD_MAX_AGE_SECONDS
        )

    def calls(self, now: float) -> int:
        """Return how many calls are believed to be there, of all VMs."""
        known = len(self.in_flight) + sum(load.calls for load in self.peer_loads(now))
        reported = self.reported
        if reported is None or now - reported.at >= REPORTED_LOAD_MAX_AGE_SECONDS:
            return known
        return max(known, reported.running + reported.waiting)

    def tokens(self, now: float) -> int:
        """Return the memory of the calls that are believed to be there."""
        own = sum(in_flight_call.tokens for in_flight_call in self.in_flight.values())
        return own + sum(load.tokens for load in self.peer_loads(now))

    def pending_prefill_tokens(self, now: float) -> int:
        """Return the prompt tokens that are believed to wait for being read."""
        own = sum(
            in_flight_call.pending_prefill_tokens
            for in_flight_call in self.in_flight.values()
        )
        return own + sum(load.pending_prefill_tokens for load in self.peer_loads(now))

    def is_stalled(self, now: float) -> bool:
        """Return whether the target is believed to be silent."""
        if self.is_stalled_locally(now):
            return True
        witnesses = [load for load in self.peer_loads(now) if load.is_stalled]
        if len(witnesses) < STALL_MIN_REPORTS:
            return False
        return self.progress_at < now - STALL_SECONDS

    def is_stalled_locally(self, now: float) -> bool:
        """Return whether a call there is overdue and no other has moved since."""
        return any(
            now > in_flight_call.expected_at + STALL_SECONDS
            and self.progress_at < in_flight_call.expected_at
            for in_flight_call in self.in_flight.values()
        )

    def failure_share(self, now: float) -> float:
        """Return the recent share of calls that failed, drawn to zero by time."""
        if not self.results:
            return 0.0
        faded = exp(-(now - self.result_at) / FAILURE_DECAY_SECONDS)
        return self.failures * faded / (self.results * faded + 1.0)

    def record_success(self, now: float, seconds: float) -> None:
        """Note a whole answer and its duration."""
        self._add_result(now, 0.0)
        self.needs_check = False
        self.block_seconds = 0.0
        self.progress_at = now
        self.usual_seconds += DURATION_WEIGHT * (seconds - self.usual_seconds)

    def record_failure(self, now: float) -> None:
        """Note a call that the target broke off or failed."""
        self._add_result(now, 1.0)

    def mark_unreachable(self, now: float) -> None:
        """Note that it could not be connected."""
        self.record_failure(now)
        doubled = max(self.block_seconds * 2, MIN_BLOCK_SECONDS)
        self.block_seconds = min(doubled, MAX_BLOCK_SECONDS)
        self.blocked_until = now + self.block_seconds
        self.needs_check = True

    def mark_reachable(self, now: float) -> None:
        """Note that a connection to it opened."""
        self.connected_at = now
        self.blocked_until = now
        self.block_seconds = 0.0
        self.needs_check = False

    def is_unreachable(self, now: float) -> bool:
        """Return whether it gets no call, by own trials or the word of near VMs."""
        if self.needs_check or self.blocked_until > now:
            return True
        since = now - UNREACHABLE_REPORT_MAX_AGE_SECONDS
        heard = [at for at in self.unreachable_reports.values() if at > since]
        if len(heard) < UNREACHABLE_MIN_REPORTS:
            return False
        return max(self.connected_at, self.progress_at) < min(heard)

    def expect_load(self, now: float) -> None:
        """Note that an order to load other weights is on its way."""
        self.loading_until = now + MAX_LOADING_SECONDS

    def record_rejection(self, now: float) -> None:
        """Note that it rejected a call: it is full, or loads other weights."""
        self.loading_until = max(self.loading_until, now + REJECTION_PAUSE_SECONDS)

    def handle_version_mismatch(
        self, model: str, shown: int | None, wanted: int | None, now: float
    ) -> None:
        """Note that its weights are not those that were expected.

        Parameters
        ----------
        shown
            Version that it named itself; ``None`` when it named none.
        wanted
            Version that the operator named; ``None`` when none is known.
        """
        believed = self.weight_versions.get(model, 0)
        if shown is not None and shown != believed:
            self.weight_versions[model] = shown
            self.cache.clear()
        elif shown is None and wanted is not None and believed < wanted:
            self.weight_versions[model] = wanted
            self.cache.clear()
        else:
            self.record_rejection(now)

    def learn_version(self, model: str, version: int, now: float) -> None:
        """Take the version of the weights that the target named itself."""
        if version > self.weight_versions.get(model, 0):
            self.weight_versions[model] = version
            self.loading_until = min(self.loading_until, now)
            self.cache.clear()

    def _add_result(self, now: float, failure: float) -> None:
        faded = exp(-max(now - self.result_at, 0.0) / FAILURE_DECAY_SECONDS)
        self.failures = self.failures * faded + failure
        self.results = self.results * faded + 1.0
        self.result_at = now


class TargetTable:
    """All targets that are believed to live, by name."""

    def __init__(self) -> None:
        self.states: dict[str, TargetState] = {}
        self.rates: dict[str, PrefillRate] = {}
        self.run_times: dict[str, RunTime] = {}

    def of_service(self, service: str) -> list[TargetState]:
        """Return the targets of a service."""
        return [
            state for state in self.states.values() if state.entry.service == service
        ]

    def rate(self, service: str) -> PrefillRate:
        """Return the reading speed of a service's engines."""
        return self.rates.setdefault(service, PrefillRate())

    def run_time(self, route: str) -> RunTime:
        """Return how long the generations of a route hold an engine."""
        return self.run_times.setdefault(route, RunTime())

    def update(self, entry: TargetEntry, now: float) -> bool:
        """Take an entry of the platform's list; return whether beliefs changed."""
        state = self.states.get(entry.name)
        if state is None or _is_other_life(state.entry, entry):
            state = TargetState(entry=entry, cache=PartCache(0), progress_at=now)
            state.weight_versions.update(entry.weight_versions)
            self.states[entry.name] = state
            return True
        before = (state.entry.phase, dict(state.weight_versions))
        state.entry = entry
        for model, version in entry.weight_versions.items():
            state.learn_version(model, version, now)
        return before != (entry.phase, state.weight_versions)

    def remove(self, name: str) -> None:
        """Forget a target."""
        self.states.pop(name, None)


def _is_other_life(before: TargetEntry, after: TargetEntry) -> bool:
    return (before.life, before.address) != (after.life, after.address)
