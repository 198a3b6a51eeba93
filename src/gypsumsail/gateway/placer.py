"""Places the jobs of one service by what is believed of its targets."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from gypsumsail.gateway.arrivals import ArrivalRate, WorkElsewhere
from gypsumsail.gateway.const import CONNECT_SECONDS, MEMORY_SHARE, STALL_SECONDS
from gypsumsail.gateway.job import Job, Place
from gypsumsail.gateway.line import Capacity
from gypsumsail.gateway.models import PromptPart, Service
from gypsumsail.gateway.placement import (
    Candidate,
    Demand,
    Placed,
    Placement,
    Unplaceable,
    place,
)
from gypsumsail.gateway.targets import Flight, TargetState, TargetTable
from gypsumsail.gateway.weights import WantedWeights, WeightFit, cache_scope, fit

MovableParts = Callable[[str, str, Sequence[PromptPart], float], int]


@dataclass(slots=True, kw_only=True)
class FleetView:
    """What all lines of this VM share.

    Attributes
    ----------
    zone
        Availability zone of this VM.
    movable
        Says how many leading parts of a prompt an engine of a service has or could
        fetch under a cache scope.
    wanted
        Versions that the operator named, by model.
    rollout_seconds
        Time after which no call may begin on older weights.
    vms
        Number of VMs that place calls on the same targets.
    elsewhere
        Says what other VMs have for the targets of a service.
    """

    zone: str
    movable: MovableParts
    targets: TargetTable
    wanted: dict[str, WantedWeights]
    rollout_seconds: float
    vms: Callable[[], int]
    elsewhere: Callable[[str, float], WorkElsewhere] = lambda service, now: (
        WorkElsewhere()
    )


class _MovableByScope(dict[str, int]):
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
        movable = self._movable(job, now)
        least = min(
            (self._unread(job, state, movable)[0] for state in self._states()),
            default=prompt.input_tokens,
        )
        return least / self._rate()

    def place(self, number: int, now: float) -> Placement:
        """Choose a target; the job counts as being there at once."""
        job = self.jobs[number]
        fitting = self._fitting(job, now)
        if not fitting:
            return Unplaceable()
        usable = {
            state.entry.name: state
            for state in fitting
            if not state.is_unreachable(now) and state.loading_until <= now
        }
        movable = self._movable(job, now)
        candidates = [
            self._candidate(job, state, movable, now) for state in usable.values()
        ]
        prompt = job.call.prompt
        demand = Demand(
            tokens=prompt.tokens if prompt is not None else 0,
            read_tokens_per_second=self._rate(),
            aim_seconds=job.aim_at - job.call.received_at,
            is_late=now + job.work_seconds > job.aim_at,
        )
        placed = place(candidates, demand)
        if isinstance(placed, Placed):
            state = usable[placed.name]
            job.place = self.begin(job, state, placed.start_delay, now)
        return placed

    def arrived(self, job: Job, now: float) -> None:
        """Count the work of a job that is to be placed."""
        work = max(job.work_seconds, self.occupied_seconds(job))
        self.arrivals.add(work, now)

    def arriving(self, now: float) -> float:
        """Return the workers that the calls which arrive here would keep busy."""
        return self.arrivals.at_time(now)

    def occupied_seconds(self, job: Job) -> float:
        """Return how long the job takes the memory of a whole engine."""
        engine, prompt = self.service.engine, job.call.prompt
        if engine is None or prompt is None or not engine.memory_tokens:
            return 0.0
        share = prompt.tokens / (engine.memory_tokens * MEMORY_SHARE)
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
        elsewhere = self.view.elsewhere(self.service.name, now)
        if self.service.engine is None:
            slots = sum(state.entry.slots for state in states)
            calls = sum(state.calls(now) for state in states)
            usual = min((state.usual_seconds for state in states), default=0.0)
            backlog = usual * calls / slots if slots else 0.0
            workers = slots
        else:
            free_in = (self._engine_free_in(state, now) for state in states)
            backlog = min(free_in, default=0.0)
            workers = len(states)
        return Capacity(
            workers=workers,
            backlog_seconds=backlog + checked_in,
            elsewhere_seconds=elsewhere.waiting_seconds,
            arriving=self.arriving(now) + elsewhere.arriving,
        )

    def _engine_free_in(self, state: TargetState, now: float) -> float:
        """Return when an engine is expected to have room for one more call."""
        assert self.service.engine is not None
        free_at = max(state.loading_until, now)
        seconds = free_at - now + state.unread(now) / self._rate()
        calls, tokens = state.calls(now), state.tokens(now)
        if not calls:
            return seconds
        room = self.service.engine.memory_tokens * MEMORY_SHARE
        if calls >= state.entry.slots or tokens * (calls + 1) > room * calls:
            seconds += state.usual_seconds / calls
        return seconds

    def _states(self) -> list[TargetState]:
        return self.view.targets.of_service(self.service.name)

    def _rate(self) -> float:
        return self.view.targets.rate(self.service.name).tokens_per_second

    def _fitting(self, job: Job, now: float) -> list[TargetState]:
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
        return fit(wanted, version, self.view.rollout_seconds, now)

    def _scope(self, job: Job, state: TargetState) -> str:
        isolated = job.customer.name if job.customer.is_isolated else ""
        return cache_scope(isolated, self._version(job, state))

    def _movable(self, job: Job, now: float) -> _MovableByScope:
        """Return how many leading parts can be fetched, asked once for each scope."""
        prompt = job.call.prompt
        parts = prompt.parts if prompt is not None else ()
        service = self.service.name
        return _MovableByScope(
            lambda scope: self.view.movable(service, scope, parts, now)
        )

    def _unread(
        self, job: Job, state: TargetState, movable_in: _MovableByScope
    ) -> tuple[int, int]:
        """Return the prompt tokens to be read there, and those to be fetched."""
        prompt = job.call.prompt
        if prompt is None:
            return 0, 0
        scope = self._scope(job, state)
        cached = state.cache.leading_parts(scope, prompt.parts)
        movable = max(movable_in[scope], cached)
        known = sum(part.tokens for part in prompt.parts[:movable])
        moved = sum(part.tokens for part in prompt.parts[cached:movable])
        return max(prompt.input_tokens - known, 0), moved

    def _candidate(
        self, job: Job, state: TargetState, movable: _MovableByScope, now: float
    ) -> Candidate:
        engine = self.service.engine
        if engine is not None:
            state.cache.capacity_tokens = engine.memory_tokens
        unread, moved = self._unread(job, state, movable)
        return Candidate(
            name=state.entry.name,
            is_local=state.entry.zone == self.view.zone,
            slots=state.entry.slots,
            calls=state.calls(now),
            tokens=state.tokens(now),
            unread=state.unread(now),
            memory_tokens=engine.memory_tokens if engine is not None else 0,
            own_unread=unread,
            moved=moved,
            usual_seconds=state.usual_seconds,
            failure_share=state.failure_share(now),
            is_stalled=state.is_stalled(now),
            has_old_weights=self._weight_fit(job, state, now) is WeightFit.OLD,
        )

    def begin(
        self, job: Job, state: TargetState, start_delay: float, now: float
    ) -> Place:
        """Count a job at a target from now on."""
        prompt = job.call.prompt
        unread, moved = self._unread(job, state, self._movable(job, now))
        flight = Flight(
            tokens=prompt.tokens if prompt is not None else 0,
            unread=unread,
            ahead=state.unread(now),
            began_at=now,
            progress_at=now,
            expected_at=now + start_delay * 2 + STALL_SECONDS / 2,
        )
        version = self._version(job, state)
        return Place(
            state=state,
            flight=state.begin(flight),
            start_delay=start_delay,
            unread_tokens=unread,
            moved_tokens=moved,
            cache_scope=self._scope(job, state) if version else job.call.request_id,
            weight_version=version or None,
        )
