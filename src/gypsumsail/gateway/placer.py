"""Places the jobs of one service by what is believed of its targets."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from gypsumsail.gateway.arrivals import ArrivalRate, RemoteLoad
from gypsumsail.gateway.const import CONNECT_SECONDS, STALL_SECONDS, USABLE_MEMORY_SHARE
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import PromptPart, Service
from gypsumsail.gateway.placement import (
    Candidate,
    Demand,
    Placed,
    Placement,
    Unplaceable,
    place,
)
from gypsumsail.gateway.queue_policy import Capacity
from gypsumsail.gateway.targets import InFlightCall, TargetState, TargetTable
from gypsumsail.gateway.weights import WantedWeights, WeightFit, cache_scope, weight_fit

FetchableParts = Callable[[str, str, Sequence[PromptPart], float], int]


@dataclass(slots=True, kw_only=True)
class FleetView:
    """What all lines of this VM share.

    Attributes
    ----------
    zone
        Availability zone of this VM.
    fetchable_parts
        Says how many leading parts of a prompt an engine of a service has or could
        fetch under a cache scope.
    wanted
        Versions that the operator named, by model.
    rollout_seconds
        Time after which no call may begin on older weights.
    vms
        Number of VMs that place calls on the same targets.
    remote_load
        Says what other VMs have for the targets of a service.
    """

    zone: str
    fetchable_parts: FetchableParts
    targets: TargetTable
    wanted: dict[str, WantedWeights]
    rollout_seconds: float
    vms: Callable[[], int]
    remote_load: Callable[[str, float], RemoteLoad] = lambda service, now: RemoteLoad()


class _FetchableByScope(dict[str, int]):
    """Leading parts of one prompt that can be fetched, by cache scope."""

    def __init__(self, ask: Callable[[str], int]) -> None:
        super().__init__()
        self.ask = ask

    def __missing__(self, scope: str) -> int:
        """Ask for a scope that no engine before had."""
        self[scope] = self.ask(scope)
        return self[scope]


class JobPlacer:
    """Turns beliefs into candidates and counts placed jobs at their targets."""

    def __init__(self, view: FleetView, service: Service, jobs: Mapping[int, Job]):
        self.view = view
        self.service = service
        self.jobs = jobs
        self.arrivals = ArrivalRate()

    def work_seconds(self, job: Job, now: float) -> float:
        """Return how long one target is expected to work before the first token."""
        prompt = job.call.prompt
        if prompt is None or self.service.engine is None:
            usual = [state.usual_seconds for state in self._states()]
            return sum(usual) / len(usual) if usual else 0.0
        fetchable_by_scope = self._fetchable_parts(job, now)
        least = min(
            (
                self._prompt_work(job, state, fetchable_by_scope)[0]
                for state in self._states()
            ),
            default=prompt.input_tokens,
        )
        return least / self._rate()

    def place(self, number: int, now: float) -> Placement:
        """Choose a target; the job counts as being there at once."""
        job = self.jobs[number]
        fitting = self._eligible(job, now)
        if not fitting:
            return Unplaceable()
        usable = {
            state.entry.name: state
            for state in fitting
            if not state.is_unreachable(now) and state.loading_until <= now
        }
        fetchable_by_scope = self._fetchable_parts(job, now)
        candidates = [
            self._candidate(job, state, fetchable_by_scope, now)
            for state in usable.values()
        ]
        prompt = job.call.prompt
        demand = Demand(
            tokens=prompt.tokens if prompt is not None else 0,
            prefill_tokens_per_second=self._rate(),
            latency_goal_seconds=job.due_at - job.call.received_at,
            is_late=now + job.work_seconds > job.due_at,
        )
        placed = place(candidates, demand)
        if isinstance(placed, Placed):
            state = usable[placed.name]
            job.assignment = self.begin(job, state, placed.start_delay, now)
        return placed

    def record_arrival(self, job: Job, now: float) -> None:
        """Count the work of a job that is to be placed."""
        work = max(job.work_seconds, self.occupied_seconds(job))
        self.arrivals.add(work, now)

    def offered_load(self, now: float) -> float:
        """Return the workers that the calls which arrive here would keep busy."""
        return self.arrivals.at_time(now)

    def occupied_seconds(self, job: Job) -> float:
        """Return how long the job takes the memory of a whole engine."""
        engine, prompt = self.service.engine, job.call.prompt
        if engine is None or prompt is None or not engine.memory_tokens:
            return 0.0
        share = prompt.tokens / (engine.memory_tokens * USABLE_MEMORY_SHARE)
        return share * self.view.targets.run_time(job.route.name).seconds

    def capacity(self, now: float) -> Capacity:
        """Return what works on the service's calls."""
        listed = [state for state in self._states() if not state.is_leaving]
        reachable = [state for state in listed if not state.is_unreachable(now)]
        states = reachable or listed
        checked_in = 0.0
        if not reachable:
            checks = (state.blocked_until - now for state in listed)
            checked_in = max(min(checks, default=0.0), 0.0) + CONNECT_SECONDS
        remote_load = self.view.remote_load(self.service.name, now)
        if self.service.engine is None:
            slots = sum(state.entry.slots for state in states)
            calls = sum(state.calls(now) for state in states)
            usual = min((state.usual_seconds for state in states), default=0.0)
            backlog = usual * calls / slots if slots else 0.0
            workers = slots
        else:
            expected_wait = (self._engine_expected_wait(state, now) for state in states)
            backlog = min(expected_wait, default=0.0)
            workers = len(states)
        return Capacity(
            workers=workers,
            backlog_seconds=backlog + checked_in,
            remote_work_seconds=remote_load.waiting_seconds,
            offered_load=self.offered_load(now) + remote_load.offered_load,
        )

    def _engine_expected_wait(self, state: TargetState, now: float) -> float:
        """Return when an engine is expected to have room for one more call."""
        assert self.service.engine is not None
        free_at = max(state.loading_until, now)
        seconds = free_at - now + state.pending_prefill_tokens(now) / self._rate()
        calls, tokens = state.calls(now), state.tokens(now)
        if not calls:
            return seconds
        room = self.service.engine.memory_tokens * USABLE_MEMORY_SHARE
        if calls >= state.entry.slots or tokens * (calls + 1) > room * calls:
            seconds += state.usual_seconds / calls
        return seconds

    def _states(self) -> list[TargetState]:
        return self.view.targets.of_service(self.service.name)

    def _rate(self) -> float:
        return self.view.targets.rate(self.service.name).tokens_per_second

    def _eligible(self, job: Job, now: float) -> list[TargetState]:
        """Return the targets that may take the job, now or when they are free."""
        return [
            state
            for state in self._states()
            if not state.is_leaving
            and (state.entry.name, state.entry.life) not in job.tried
            and self._weight_fit(job, state, now) is not WeightFit.REFUSED
        ]

    def _version(self, job: Job, state: TargetState) -> int:
        prompt = job.call.prompt
        return state.weight_versions.get(prompt.model, 0) if prompt is not None else 0

    def _weight_fit(self, job: Job, state: TargetState, now: float) -> WeightFit:
        prompt = job.call.prompt
        if prompt is None:
            return WeightFit.CURRENT
        version = self._version(job, state)
        if job.weight_version is not None and version != job.weight_version:
            return WeightFit.REFUSED
        wanted = self.view.wanted.get(prompt.model)
        return weight_fit(wanted, version, self.view.rollout_seconds, now)

    def _scope(self, job: Job, state: TargetState) -> str:
        isolated = job.customer.name if job.customer.is_isolated else ""
        return cache_scope(isolated, self._version(job, state))

    def _fetchable_parts(self, job: Job, now: float) -> _FetchableByScope:
        """Return how many leading parts can be fetched, asked once for each scope."""
        prompt = job.call.prompt
        parts = prompt.parts if prompt is not None else ()
        service = self.service.name
        return _FetchableByScope(
            lambda scope: self.view.fetchable_parts(service, scope, parts, now)
        )

    def _prompt_work(
        self, job: Job, state: TargetState, fetchable_by_scope: _FetchableByScope
    ) -> tuple[int, int]:
        """Return the prompt tokens to be read there, and those to be fetched."""
        prompt = job.call.prompt
        if prompt is None:
            return 0, 0
        scope = self._scope(job, state)
        cached = state.cache.leading_parts(scope, prompt.parts)
        available_parts = max(fetchable_by_scope[scope], cached)
        known = sum(part.tokens for part in prompt.parts[:available_parts])
        fetch_tokens = sum(part.tokens for part in prompt.parts[cached:available_parts])
        return max(prompt.input_tokens - known, 0), fetch_tokens

    def _candidate(
        self,
        job: Job,
        state: TargetState,
        fetchable_by_scope: _FetchableByScope,
        now: float,
    ) -> Candidate:
        engine = self.service.engine
        if engine is not None:
            state.cache.capacity_tokens = engine.memory_tokens
        prefill_tokens, fetch_tokens = self._prompt_work(job, state, fetchable_by_scope)
        return Candidate(
            name=state.entry.name,
            is_local=state.entry.zone == self.view.zone,
            slots=state.entry.slots,
            calls=state.calls(now),
            tokens=state.tokens(now),
            pending_prefill_tokens=state.pending_prefill_tokens(now),
            memory_tokens=engine.memory_tokens if engine is not None else 0,
            own_prefill_tokens=prefill_tokens,
            fetch_tokens=fetch_tokens,
            usual_seconds=state.usual_seconds,
            failure_share=state.failure_share(now),
            is_stalled=state.is_stalled(now),
            has_old_weights=self._weight_fit(job, state, now) is WeightFit.OLD,
        )

    def begin(
        self, job: Job, state: TargetState, start_delay: float, now: float
    ) -> Assignment:
        """Count a job at a target from now on."""
        prompt = job.call.prompt
        prefill_tokens, fetch_tokens = self._prompt_work(
            job, state, self._fetchable_parts(job, now)
        )
        in_flight_call = InFlightCall(
            tokens=prompt.tokens if prompt is not None else 0,
            pending_prefill_tokens=prefill_tokens,
            tokens_ahead=state.pending_prefill_tokens(now),
            began_at=now,
            progress_at=now,
            expected_at=now + start_delay * 2 + STALL_SECONDS / 2,
        )
        version = self._version(job, state)
        return Assignment(
            state=state,
            in_flight_id=state.begin(in_flight_call),
            start_delay=start_delay,
            prefill_tokens=prefill_tokens,
            fetch_tokens=fetch_tokens,
            cache_scope=self._scope(job, state) if version else job.call.request_id,
            weight_version=version or None,
        )
