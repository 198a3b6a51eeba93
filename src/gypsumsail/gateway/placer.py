"""Builds placement candidates from target states and records the chosen target."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from functools import partial
from math import isfinite
import random

from gypsumsail.gateway.arrivals import ArrivalRate
from gypsumsail.gateway.const import (
    CONNECT_SECONDS,
    DURATION_SMOOTHING,
    INITIAL_CALL_SECONDS,
    STALL_SECONDS,
    STOP_MARGIN_SECONDS,
    USABLE_MEMORY_SHARE,
)
from gypsumsail.gateway.fetchable_parts import FetchableByScope
from gypsumsail.gateway.fleet_demand import prompts_of_fleet
from gypsumsail.gateway.fleet_view import FleetView
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import Service
from gypsumsail.gateway.placement import (
    Candidate,
    Demand,
    Forward,
    Placed,
    Placement,
    StopsTooSoon,
    Unplaceable,
    Wait,
    place,
)
from gypsumsail.gateway.queue_policy import Capacity
from gypsumsail.gateway.target_shares import (
    capacity_when_warm,
    is_unrestricted,
    own_workers,
    seconds_until_allowed,
)
from gypsumsail.gateway.targets import InFlightCall, TargetState
from gypsumsail.gateway.weights import WeightFit, weight_fit
from gypsumsail.placing.pools import EnginePools, PoolEngine
from gypsumsail.sharing.scopes import shared_scope, unshared_scope


def _fastest_seconds(states: Sequence[TargetState]) -> float:
    """Return the average duration of a call at the fastest target."""
    return min((state.usual_seconds for state in states), default=0.0)


class JobPlacer:
    """Places jobs on the targets of one service and counts them there.

    Attributes
    ----------
    usual_work
        Average seconds for which a call occupies an engine.
    """

    def __init__(self, view: FleetView, service: Service, jobs: Mapping[int, Job]):
        self.view = view
        self.service = service
        self.jobs = jobs
        self.arrivals = ArrivalRate()
        self.usual_work = INITIAL_CALL_SECONDS
        self.pools = EnginePools(service.name)
        self.random = random.Random()

    def work_seconds(self, job: Job, now: float) -> float:
        """Return the seconds that a target is expected to work before the first token.

        For a plain call, this is the average duration of a whole call.
        """
        prompt = job.call.prompt
        if prompt is None or self.service.engine is None:
            states = self._states(job)
            fastest = _fastest_seconds(states)
            total = sum(state.expected_seconds(fastest, now) for state in states)
            return total / len(states) if states else 0.0
        fetchable_by_scope = self._fetchable_parts(job, now)
        min_prefill_tokens = min(
            (
                self._prefill_and_fetch_tokens(job, state, fetchable_by_scope, now)[0]
                for state in self._states(job)
            ),
            default=prompt.input_tokens,
        )
        return min_prefill_tokens / self._rate()

    def place(self, number: int, now: float) -> Placement:
        """Choose a target for a job and count the job there at once."""
        job = self.jobs[number]
        if isfinite(self.view.exits_at) and (
            self.answered_by(job, now) > self.view.exits_at
        ):
            return StopsTooSoon()
        if not self.view.may_place(now):
            return Wait()
        if self.should_forward(job, now):
            host = self.view.helper_for(job, now)
            if host is not None:
                return Forward(host=host)
        eligible = self._eligible(job, now)
        if not eligible:
            return Unplaceable()
        if self.pools.is_due(now):
            self._update_pools(now)
        if self.service.cold is not None:
            self.view.targets.note_time(now)
        usable = {
            state.entry.name: state for state in eligible if self._is_usable(state, now)
        }
        fetchable_by_scope = self._fetchable_parts(job, now)
        fastest_seconds = _fastest_seconds(eligible)
        candidates = [
            self._candidate(job, state, fetchable_by_scope, fastest_seconds, now)
            for state in usable.values()
        ]
        prompt = job.call.prompt
        demand = Demand(
            tokens=prompt.tokens if prompt is not None else 0,
            prefill_tokens_per_second=self._rate(),
            latency_goal_seconds=job.due_at - job.call.received_at,
            is_late=now + job.work_seconds > job.due_at,
            unseen_seconds=self.unseen_seconds(now),
        )
        placed = place(candidates, demand)
        if isinstance(placed, Placed):
            state = usable[placed.name]
            state.count_call(now)
            job.assignment = self.begin(job, state, placed.answer_delay, now)
        elif self.service.cold is not None and not job.is_held:
            job.is_held = any(state.cold.is_cold(now) for state in eligible)
            if job.is_held:
                self.view.on_cold_held(self.service.name)
        return placed

    def answered_by(self, job: Job, now: float) -> float:
        """Return the time by which a job that is sent now has its final answer."""
        longest = self.view.targets.answer_time(job.route.name).longest
        if longest is None:
            return job.deadline
        return min(now + longest + STOP_MARGIN_SECONDS, job.deadline)

    def should_forward(self, job: Job, now: float) -> bool:
        """Return whether another VM should serve a job, as no target can be reached.

        A stream that has begun is not forwarded: the other VM would begin it anew.
        """
        if job.is_forwarded or job.first_at:
            return False
        isolation = self.view.isolation
        if not isolation.is_known_to_others(job.customer.name, job.isolated):
            return False
        return self.view.is_cut_off(self.service.name, now, job.homes)

    def _is_usable(self, state: TargetState, now: float) -> bool:
        """Return whether a target takes a call of this VM at this moment."""
        if state.is_unreachable(now) or state.paused_until > now:
            return False
        if not state.pause.allows(now):
            return False
        if not state.cold.allows(self.view.cold_sharing, now):
            return False
        return state.is_within_limit(self.view.limit_sharing, now)

    def unseen_seconds(self, now: float) -> float:
        """Return the seconds of work that other VMs have given to a target unseen.

        It is the work that arrives for one target of the service between two reports.
        """
        interval = self.view.load_report_interval(now)
        targets = len(self._states())
        if not interval or not targets:
            return 0.0
        others = self.view.peer_service_load(self.service.name, now).offered_load
        return interval * min(others / targets, 1.0)

    def record_arrival(self, job: Job, now: float) -> None:
        """Add the work of a job to the arrival rate."""
        work = max(job.work_seconds, self.memory_seconds(job))
        self.arrivals.add(work, now)
        self.usual_work += DURATION_SMOOTHING * (work - self.usual_work)
        if not self.view.divides_engines:
            return
        if job.call.prompt is not None and self.service.engine is not None:
            tokens = round(job.work_seconds * self._rate())
            self.pools.record(job.route.name, job.route.latency_goal, tokens, now)

    def _update_pools(self, now: float) -> None:
        engines = [
            PoolEngine(name=state.entry.name, zone=state.entry.zone)
            for state in self._states()
            if not state.is_leaving
        ]
        prompts = prompts_of_fleet(self.view, self.service, self.pools, now)
        if self.pools.update(prompts, engines, now):
            self.view.on_division(self.service.name, self.pools, now)

    def offered_load(self, now: float) -> float:
        """Return the offered load of the calls at this VM, in erlangs."""
        return self.arrivals.at_time(now)

    def memory_seconds(self, job: Job) -> float:
        """Return the job's share of an engine's memory times the seconds it is held."""
        engine, prompt = self.service.engine, job.call.prompt
        if engine is None or prompt is None or not engine.memory_tokens:
            return 0.0
        share = prompt.tokens / (engine.memory_tokens * USABLE_MEMORY_SHARE)
        return share * self.view.targets.generation_time(job.route.name).seconds

    def capacity(self, now: float) -> Capacity:
        """Return the capacity of the service's targets."""
        listed = [state for state in self._states() if not state.is_leaving]
        reachable = [state for state in listed if not state.is_unreachable(now)]
        states = reachable or listed
        seconds_until_check = 0.0
        if not reachable:
            checks = (state.blocked_until - now for state in listed)
            seconds_until_check = max(min(checks, default=0.0), 0.0) + CONNECT_SECONDS
        peer_service_load = self.view.peer_service_load(self.service.name, now)
        free = [state for state in states if is_unrestricted(state, now)]
        if self.service.engine is None:
            slots = sum(state.entry.slots for state in states)
            calls = sum(state.calls(now) for state in states)
            usual = min((state.usual_seconds for state in states), default=0.0)
            backlog = usual * calls / slots if slots else 0.0
            waits = (seconds_until_allowed(state, self.view, now) for state in states)
            backlog += min(waits, default=0.0)
            workers = sum(state.entry.slots for state in free)
        else:
            expected_wait = (self._engine_expected_wait(state, now) for state in states)
            backlog = min(expected_wait, default=0.0)
            workers = len(free)
        return Capacity(
            workers=workers,
            own_workers=own_workers(
                states, self.view, self.service, self.usual_work, now
            ),
            backlog_seconds=backlog + seconds_until_check,
            peer_queued_work_seconds=peer_service_load.queued_work_seconds,
            offered_load=self.offered_load(now) + peer_service_load.offered_load,
            when_warm=capacity_when_warm(
                states, self.service, peer_service_load, self.offered_load(now), now
            ),
        )

    def _engine_expected_wait(self, state: TargetState, now: float) -> float:
        """Return the seconds until an engine is expected to take one more call."""
        assert self.service.engine is not None
        free_at = max(state.paused_until, now)
        seconds = free_at - now + state.pending_prefill_tokens(now) / self._rate()
        seconds = max(seconds, seconds_until_allowed(state, self.view, now))
        calls, tokens = state.calls(now), state.tokens(now)
        if not calls:
            return seconds
        usable_tokens = self.service.engine.memory_tokens * USABLE_MEMORY_SHARE
        # The second condition: one more call of average size does not fit into memory.
        if calls >= state.entry.slots or tokens * (calls + 1) > usable_tokens * calls:
            seconds += state.usual_seconds / calls
        return seconds

    def _states(self, job: Job | None = None) -> list[TargetState]:
        homes = job.homes if job is not None else None
        return self.view.open_targets(self.service.name, homes)

    def _rate(self) -> float:
        return self.view.targets.rate(self.service.name).tokens_per_second

    def _eligible(self, job: Job, now: float) -> list[TargetState]:
        """Return the targets that may serve the job, now or once they have capacity."""
        return [
            state
            for state in self._states(job)
            if not state.is_leaving
            and (state.entry.name, state.entry.life) not in job.tried
            and self._has_build(job, state, now)
            and self._weight_fit(job, state, now) is not WeightFit.REFUSED
        ]

    def _has_build(self, job: Job, state: TargetState, now: float) -> bool:
        """Return whether the stream of a job may go on at a target."""
        return job.build is None or self.view.build_of(state.entry, now) == job.build

    def _version(self, job: Job, state: TargetState) -> int:
        """Return the version of a target's weights for the job's model.

        It is 0 if the version is unknown or the call is plain.
        """
        prompt = job.call.prompt
        return state.weight_versions.get(prompt.model, 0) if prompt is not None else 0

    def _weight_fit(self, job: Job, state: TargetState, now: float) -> WeightFit:
        prompt = job.call.prompt
        if prompt is None:
            return WeightFit.PREFERRED
        version = self._version(job, state)
        if job.weight_version is not None and version != job.weight_version:
            return WeightFit.REFUSED
        wanted = self.view.wanted_weights.get(prompt.model)
        return weight_fit(wanted, version, self.view.rollout_seconds, now)

    def _scope(self, job: Job, state: TargetState, now: float) -> str | None:
        """Return the scope of a call at a target; ``None`` if it shares nothing."""
        if job.customer.is_ambiguous:
            return None
        isolated = job.isolated
        if not self.view.is_isolation_known(now):
            isolated = frozenset({job.customer.name})
        return shared_scope(job.customer.name, self._version(job, state), isolated)

    def _send_scope(self, job: Job, state: TargetState, now: float) -> str:
        """Return the scope of one send; empty for a plain call to a plain target.

        An engine would cache what it can read of a prompt that is not fully described,
        and without a scope all such calls share it.
        """
        is_plain = self.service.engine is None and not state.weight_versions
        if is_plain and job.call.prompt is None:
            return ""
        return self._scope(job, state, now) or unshared_scope()

    def _fetchable_parts(self, job: Job, now: float) -> FetchableByScope:
        """Return the lookup of fetchable leading parts, cached by scope."""
        return FetchableByScope(partial(self.view.fetchable_parts_of, job, now=now))

    def _prefill_and_fetch_tokens(
        self,
        job: Job,
        state: TargetState,
        fetchable_by_scope: FetchableByScope,
        now: float,
    ) -> tuple[int, int]:
        """Return the prompt tokens that a target would prefill, and would fetch."""
        prompt = job.call.prompt
        if prompt is None:
            return 0, 0
        scope = self._scope(job, state, now)
        if scope is None:
            return prompt.input_tokens, 0
        cached = state.cache.leading_parts(scope, prompt.parts)
        available_parts = max(fetchable_by_scope[scope], cached)
        known = sum(part.tokens for part in prompt.parts[:available_parts])
        fetch_tokens = sum(part.tokens for part in prompt.parts[cached:available_parts])
        return max(prompt.input_tokens - known, 0), fetch_tokens

    def _candidate(
        self,
        job: Job,
        state: TargetState,
        fetchable_by_scope: FetchableByScope,
        fastest_seconds: float,
        now: float,
    ) -> Candidate:
        engine = self.service.engine
        if engine is not None:
            state.cache.capacity_tokens = engine.memory_tokens
        is_for_short = state.entry.name in self.pools.short_engines
        prefill_tokens, fetch_tokens = self._prefill_and_fetch_tokens(
            job, state, fetchable_by_scope, now
        )
        factor = state.work_factor(now)
        return Candidate(
            name=state.entry.name,
            is_in_own_zone=state.entry.zone == self.view.zone,
            slots=state.entry.slots,
            calls=state.calls(now),
            tokens=state.tokens(now),
            pending_prefill_tokens=round(state.pending_prefill_tokens(now) * factor),
            memory_tokens=engine.memory_tokens if engine is not None else 0,
            own_prefill_tokens=round(prefill_tokens * factor),
            fetch_tokens=fetch_tokens,
            usual_seconds=state.expected_seconds(fastest_seconds, now) * factor,
            failure_share=state.failure_share(now),
            is_stalled=state.is_stalled(now),
            has_avoided_weights=self._weight_fit(job, state, now) is WeightFit.AVOIDED,
            is_reserved=is_for_short and self.pools.is_long(job.route.name),
            has_long_prefills=not is_for_short and self.pools.is_short(job.route.name),
            draw=self.random.random(),
        )

    def begin(
        self, job: Job, state: TargetState, answer_delay: float, now: float
    ) -> Assignment:
        """Count a job among the calls in flight at a target."""
        prompt = job.call.prompt
        prefill_tokens, fetch_tokens = self._prefill_and_fetch_tokens(
            job, state, self._fetchable_parts(job, now), now
        )
        in_flight_call = InFlightCall(
            tokens=prompt.tokens if prompt is not None else 0,
            pending_prefill_tokens=prefill_tokens,
            tokens_ahead=state.pending_prefill_tokens(now),
            placed_at=now,
            progress_at=now,
            expected_at=now + answer_delay * 2 + STALL_SECONDS / 2,
        )
        version = self._version(job, state)
        return Assignment(
            state=state,
            in_flight_id=state.begin(in_flight_call),
            answer_delay=answer_delay,
            prefill_tokens=prefill_tokens,
            fetch_tokens=fetch_tokens,
            cache_scope=self._send_scope(job, state, now),
            weight_version=version or None,
        )
