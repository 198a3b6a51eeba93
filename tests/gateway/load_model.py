"""Simulation of a load on engines that prefill one prompt at a time.

Several VMs place calls on the same engines and learn of each other's calls with a
delay. An engine prefills prompts in order of arrival while its memory lasts, and keeps
the memory of a call until its answer is complete.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
import heapq
from itertools import count
import random

from gypsumsail.gateway.arrivals import PeerServiceLoad
from gypsumsail.gateway.fleet_view import FleetView
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.models import Customer, Prompt, PromptPart
from gypsumsail.gateway.placement import Placed
from gypsumsail.gateway.placer import JobPlacer
from gypsumsail.gateway.queue_policy import (
    QueuedCall,
    calls_to_shed,
    occupied_seconds,
    sort_by_priority,
)
from gypsumsail.gateway.retry_after import retry_after
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import PeerTargetLoad, TargetState
from tests.gateway.common import (
    ENGINES,
    MODEL,
    call,
    document,
    engine,
    fleet_view,
    stream_route,
)

PREFILL_TOKENS_PER_SECOND = 36_100.0
MEMORY_TOKENS = 41_600
GOSSIP_INTERVAL_SECONDS = 0.1
QUEUE_INTERVAL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Load:
    """Parameters of the load.

    Attributes
    ----------
    rate
        Long prompts per second, over all VMs.
    seconds
        Time for which calls arrive.
    burst
        Factor of the rate between ``burst_from`` and ``burst_to``.
    lost_engines
        Number of engines that are lost at the start of the burst.
    documents
        Number of different attachments in the prompts.
    document_tokens, question_tokens
        Tokens of the two parts of a prompt: an attachment, which calls share, and a
        question.
    run_seconds
        Shortest and longest time from the first token to the end.
    latency_goal, timeout
        Seconds within which the first token is in time, and after which a caller
        disconnects.
    retries_after_refusal
        Whether a refused caller retries once, after the delay that it was given.
    prefill_tokens_per_second, memory_tokens
        Speed and memory of an engine.
    patience
        Seconds without a first token after which a caller disconnects; 0 for none.
    gossip_interval
        Seconds between the load reports of a VM.
    """

    rate: float
    seconds: float = 20.0
    burst: float = 1.0
    burst_from: float = 5.0
    burst_to: float = 8.0
    engines: int = 5
    lost_engines: int = 0
    vms: int = 7
    documents: int = 40
    document_tokens: int = 7_500
    question_tokens: int = 1_700
    run_seconds: tuple[float, float] = (0.1, 0.6)
    latency_goal: float = 0.8
    timeout: float = 5.0
    retries_after_refusal: bool = False
    prefill_tokens_per_second: float = PREFILL_TOKENS_PER_SECOND
    memory_tokens: int = MEMORY_TOKENS
    patience: float = 0.0
    gossip_interval: float = GOSSIP_INTERVAL_SECONDS


@dataclass(slots=True)
class Outcome:
    """Counts of the calls by their outcome.

    Attributes
    ----------
    left_untried
        Calls whose caller disconnected while they were queued.
    """

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused_after: list[float] = field(default_factory=list)
    retried: int = 0
    retried_served: int = 0
    left_untried: int = 0

    @property
    def share_in_time(self) -> float:
        """Return the share of calls whose first token came in time."""
        return self.in_time / self.calls

    @property
    def retried_served_share(self) -> float:
        """Return the share of retried calls that were served."""
        return self.retried_served / self.retried


@dataclass(slots=True)
class _Run:
    job: Job
    prefill_tokens: int
    tokens: int
    sent_at: float


class _Engine:
    """An engine that prefills one prompt at a time."""

    def __init__(self) -> None:
        self.queue: list[_Run] = []
        self.used = 0
        self.is_prefilling = False
        self.cached: list[str] = []

    def prefill(self, prompt: Prompt) -> int:
        """Return the tokens that have to be prefilled, and cache the attachment."""
        attachment = prompt.parts[0]
        if attachment.name in self.cached:
            self.cached.remove(attachment.name)
            self.cached.append(attachment.name)
            return prompt.input_tokens - attachment.tokens
        self.cached.append(attachment.name)
        # Keeps the three most recently used attachments.
        if len(self.cached) > 3:
            self.cached.pop(0)
        return prompt.input_tokens


ChooseTarget = Callable[[Sequence[TargetState], Job, float], TargetState | None]


class LoadModel:
    """One simulation run.

    Attributes
    ----------
    choose
        Policy that replaces the gateway's placement; it never queues a call.
    """

    def __init__(
        self, load: Load, seed: int, choose: ChooseTarget | None = None
    ) -> None:
        self.load = load
        self.choose = choose
        self.random = random.Random(seed)
        self.outcome = Outcome()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = count()
        self.first_arrivals: dict[int, float] = {}
        self.engines = {f"e{number}": _Engine() for number in range(load.engines)}
        self.views = [self._view() for _ in range(load.vms)]
        service = document(stream_route()).services[ENGINES]
        assert service.engine is not None
        size = replace(service.engine, memory_tokens=load.memory_tokens)
        service = replace(service, engine=size)
        self.jobs: list[dict[int, Job]] = [{} for _ in self.views]
        self.placers = [
            JobPlacer(view, service, jobs)
            for view, jobs in zip(self.views, self.jobs, strict=True)
        ]
        for placer in self.placers:
            placer.random = random.Random(self.random.random())
        self.queues: list[dict[int, QueuedCall]] = [{} for _ in self.views]

    def _view(self) -> FleetView:
        targets = TargetTable()
        for name in self.engines:
            targets.update(engine(name), 0.0)
        view = fleet_view(targets, lambda: self.load.vms)
        view.load_report_interval = lambda now: self.load.gossip_interval
        view.peer_service_load = lambda service, now: self._peer_service_load(view, now)
        return view

    def _peer_service_load(self, mine: FleetView, now: float) -> PeerServiceLoad:
        others = [
            (placer, queue)
            for view, placer, queue in zip(
                self.views, self.placers, self.queues, strict=True
            )
            if view is not mine
        ]
        return PeerServiceLoad(
            queued_work_seconds=sum(
                occupied_seconds(waiting)
                for _, queue in others
                for waiting in queue.values()
            ),
            offered_load=sum(placer.offered_load(now) for placer, _ in others),
        )

    def run(self) -> Outcome:
        """Run the simulation to its end."""
        self._arrivals()
        self._at(GOSSIP_INTERVAL_SECONDS, self._exchange_peer_loads)
        self._at(QUEUE_INTERVAL_SECONDS, self._dispatch_all)
        if self.load.lost_engines:
            self._at(self.load.burst_from, self._remove_engines)
        end = self.load.seconds + 6.0
        while self.events and self.events[0][0] < end:
            now, _, step = heapq.heappop(self.events)
            step(now)
        return self.outcome

    def _at(self, time: float, step: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time, next(self.order), step))

    def _arrivals(self) -> None:
        now = 0.0
        while now < self.load.seconds:
            is_burst = self.load.burst_from <= now < self.load.burst_to
            rate = self.load.rate * (self.load.burst if is_burst else 1.0)
            now += self.random.expovariate(rate)
            self._at(now, self._arrive)

    def _arrive(self, now: float) -> None:
        self.outcome.calls += 1
        load = self.load
        name = f"d{self.random.randrange(load.documents)}"
        attachment = PromptPart(name=name, tokens=load.document_tokens)
        question = PromptPart(name=f"q{next(self.order)}", tokens=load.question_tokens)
        prompt = Prompt(
            model=MODEL,
            input_tokens=attachment.tokens + question.tokens,
            output_tokens=10,
            parts=(attachment, question),
        )
        self._submit(prompt, now, now)

    def _submit(self, prompt: Prompt, first_at: float, now: float) -> None:
        """Send a call, or its retry, to a random VM."""
        vm = self.random.randrange(self.load.vms)
        number = next(self.order)
        job = Job(
            number=number,
            call=call("/s/x", now=now, prompt=prompt),
            route=stream_route(patience=self.load.patience),
            customer=Customer(name="a"),
            service=ENGINES,
            priority=1,
            due_at=now + self.load.latency_goal,
            deadline=first_at + self.load.timeout,
            fingerprint=str(number),
        )
        self.first_arrivals[number] = first_at
        self.jobs[vm][number] = job
        if self.choose is not None:
            self._place_by_choice(vm, job, now)
            return
        work = self.placers[vm].work_seconds(job, now)
        memory_seconds = self.placers[vm].memory_seconds(job)
        self.queues[vm][number] = job.queued_call(work, memory_seconds)
        self.placers[vm].record_arrival(job, now)
        self._dispatch(vm, now)

    def _place_by_choice(self, vm: int, job: Job, now: float) -> None:
        assert self.choose is not None
        states = [
            state
            for state in self.views[vm].targets.of_service(ENGINES)
            if not state.is_leaving
        ]
        state = self.choose(states, job, now)
        assert state is not None
        # Blocks the other targets for a moment, so that place() takes the chosen one.
        for other in states:
            other.blocked_until = now + 1 if other is not state else 0.0
        placed = self.placers[vm].place(job.number, now)
        for other in states:
            other.blocked_until = 0.0
        if not isinstance(placed, Placed):
            assignment = self.placers[vm].begin(job, state, 0.0, now)
            job.assignment = assignment
        self._start(vm, job, now)

    def _dispatch_all(self, now: float) -> None:
        for vm in range(self.load.vms):
            self._dispatch(vm, now)
        self._at(now + QUEUE_INTERVAL_SECONDS, self._dispatch_all)

    def _dispatch(self, vm: int, now: float) -> None:
        queue = self.queues[vm]
        left = []
        self._drop_impatient(queue, now)
        for waiting in sort_by_priority(queue.values(), now):
            placed = self.placers[vm].place(waiting.number, now)
            if isinstance(placed, Placed):
                del queue[waiting.number]
                self._start(vm, self.jobs[vm][waiting.number], now)
            else:
                left.append(waiting)
        for shed in calls_to_shed(left, self.placers[vm].capacity(now), now):
            del queue[shed.call.number]
            self.outcome.refused_after.append(now - shed.call.arrived_at)
            self._retry_later(self.jobs[vm][shed.call.number], shed.expected_wait, now)

    def _drop_impatient(self, queue: dict[int, QueuedCall], now: float) -> None:
        if not self.load.patience:
            return
        for number, waiting in list(queue.items()):
            if now - waiting.arrived_at >= self.load.patience:
                del queue[number]
                self.outcome.left_untried += 1

    def _retry_later(self, job: Job, expected_wait: float, now: float) -> None:
        """Let a refused caller retry once, after the delay that it was given."""
        first_at = self.first_arrivals[job.number]
        if first_at < job.call.received_at or not self.load.retries_after_refusal:
            return
        self.outcome.retried += 1
        left = job.deadline - now
        at = now + retry_after(expected_wait, left, self.random.random())
        prompt = job.call.prompt
        assert prompt is not None
        self._at(at, lambda then: self._submit(prompt, first_at, then))

    def _start(self, vm: int, job: Job, now: float) -> None:
        assert job.assignment is not None
        assert job.call.prompt is not None
        target_engine = self.engines[job.assignment.state.entry.name]
        prefill_tokens = target_engine.prefill(job.call.prompt)
        target_engine.queue.append(
            _Run(job, prefill_tokens, job.call.prompt.tokens, now)
        )
        self._start_prefill(target_engine, vm, now)

    def _start_prefill(self, target_engine: _Engine, vm: int, now: float) -> None:
        if target_engine.is_prefilling or not target_engine.queue:
            return
        run = target_engine.queue[0]
        if target_engine.used + run.tokens > self.load.memory_tokens:
            return
        target_engine.queue.pop(0)
        target_engine.used += run.tokens
        target_engine.is_prefilling = True
        seconds = run.prefill_tokens / self.load.prefill_tokens_per_second + 0.02
        self._at(
            now + seconds, lambda at: self._first_token(target_engine, vm, run, at)
        )

    def _first_token(
        self, target_engine: _Engine, vm: int, run: _Run, now: float
    ) -> None:
        target_engine.is_prefilling = False
        job = run.job
        assignment = job.assignment
        assert assignment is not None
        assert job.call.prompt is not None
        first_at = self.first_arrivals[job.number]
        self.outcome.retried_served += first_at < job.call.received_at
        if now <= first_at + self.load.latency_goal:
            self.outcome.in_time += 1
        else:
            self.outcome.late += 1
        in_flight_call = assignment.state.in_flight.get(assignment.in_flight_id)
        if in_flight_call is not None:
            rate = self.views[vm].targets.rate(ENGINES)
            rate.observe(
                in_flight_call.tokens_ahead + in_flight_call.pending_prefill_tokens,
                now - in_flight_call.placed_at,
            )
        assignment.state.record_progress(assignment.in_flight_id, now, 1.0)
        for view in self.views:
            state = view.targets.states[assignment.state.entry.name]
            state.cache.add(assignment.cache_scope, job.call.prompt.parts[:1], 0)
        duration = self.random.uniform(*self.load.run_seconds)
        self._at(now + duration, lambda at: self._end(target_engine, vm, run, at))
        self._start_prefill(target_engine, vm, now)

    def _end(self, target_engine: _Engine, vm: int, run: _Run, now: float) -> None:
        target_engine.used -= run.tokens
        assignment = run.job.assignment
        assert assignment is not None
        assignment.state.record_success(now, now - run.sent_at)
        generation_time = self.views[vm].targets.generation_time(run.job.route.name)
        generation_time.observe(now - run.sent_at)
        run.job.release()
        self._start_prefill(target_engine, vm, now)

    def _exchange_peer_loads(self, now: float) -> None:
        """Give each VM the load reports of all other VMs."""
        for mine, view in enumerate(self.views):
            for other, theirs in enumerate(self.views):
                if other == mine:
                    continue
                for name, state in view.targets.states.items():
                    in_flight = theirs.targets.states[name].in_flight.values()
                    state.peers[str(other)] = PeerTargetLoad(
                        calls=len(in_flight),
                        tokens=sum(
                            in_flight_call.tokens for in_flight_call in in_flight
                        ),
                        pending_prefill_tokens=sum(
                            in_flight_call.pending_prefill_tokens
                            for in_flight_call in in_flight
                        ),
                        at=now,
                    )
        self._at(now + self.load.gossip_interval, self._exchange_peer_loads)

    def _remove_engines(self, now: float) -> None:
        for name in list(self.engines)[: self.load.lost_engines]:
            for view in self.views:
                view.targets.states[name].is_listed_leaving = True
