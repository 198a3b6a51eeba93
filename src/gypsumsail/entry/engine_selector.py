"""Selects the engine of a model job."""

from __future__ import annotations

from collections.abc import Callable
import random

from gypsumsail.context.blocks import token_count
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import NoTargetError, OverloadedError
from gypsumsail.entry.const import NO_TARGET_RETRY_AFTER_SECONDS
from gypsumsail.entry.context_view import BlockLocations, ContextView, blocks_of
from gypsumsail.entry.engine_health import EngineHealth
from gypsumsail.entry.models import ModelJob
from gypsumsail.entry.versions import ServingEngine, eligible_engines, serving_engines
from gypsumsail.fleet.models import EngineReport, load_report_of
from gypsumsail.object_api.port import VmRecord
from gypsumsail.relay.models import Constraints, EngineSelection
from gypsumsail.routing.answer_length import AnswerLengthEstimator
from gypsumsail.routing.choose import choose
from gypsumsail.routing.const import (
    OTHER_ZONE_ROUND_TRIP_SECONDS,
    SAME_ZONE_ROUND_TRIP_SECONDS,
)
from gypsumsail.routing.loads import EngineLoads, SentWork
from gypsumsail.routing.models import (
    Candidate,
    RefusalReason,
    Refused,
    RouteRequest,
)
from gypsumsail.routing.policies import LeastLoaded, Policy
from gypsumsail.routing.sample import sample_targets
from gypsumsail.targets.port import AnswerEnd


class PolicyEngineSelector:
    """Selects an engine by policy among those that serve the job's model.

    Parameters
    ----------
    targets
        Returns the targets of a service that may receive new requests.

    Attributes
    ----------
    sequence
        Number of selections so far; the round-robin policy is based on it.
    """

    def __init__(
        self,
        zone: str,
        *,
        policy: Policy,
        targets: Callable[[str], tuple[VmRecord, ...]],
        loads: EngineLoads,
        context: ContextView,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.zone = zone
        self.policy = policy
        self.targets = targets
        self.loads = loads
        self.context = context
        self.clock = clock
        self.rng = rng
        self.lengths = AnswerLengthEstimator()
        self.reports: dict[str, EngineReport] = {}
        self.health = EngineHealth()
        self.sequence = 0

    def on_report(self, report: EngineReport, now: float) -> None:
        """Store the latest report of an engine."""
        self.reports[report.target] = report
        self.health.on_report(report.target)
        self.loads.on_report(report.target, load_report_of(report), now=now)

    async def async_select(
        self, job: ModelJob, constraints: Constraints
    ) -> EngineSelection:
        """Select an engine; raises RequestError if none is available."""
        found = serving_engines(
            self.targets(job.route_match.service),
            self.reports,
            model=job.body.model,
            adapter=job.adapter,
        )
        desired = job.model.weight_version
        now = self.clock.monotonic()
        healthy = [
            engine for engine in found if self.health.is_healthy(engine.vm.vm_id, now)
        ]
        allowed = eligible_engines(healthy, constraints, desired)
        if not allowed:
            allowed = eligible_engines(found, constraints, desired)
        self.sequence += 1
        options = [
            await self._async_option(job, version, group, constraints)
            for version, group in _by_version(allowed).items()
        ]
        left = max(job.deadline_at - self.clock.monotonic(), 0.0)
        return await self.context.async_hold(_best(options), left)

    def expected_answer_tokens(self, job: ModelJob) -> int:
        """Return the expected answer tokens of a job."""
        customer = job.route_match.customer.name
        return self.lengths.expected(customer, job.body.max_tokens)

    def backlog_seconds(self, service: str) -> float:
        """Return the seconds until the least loaded engine could start a job.

        The estimate is taken over a random sample of the engines.
        """
        names = [vm.vm_id for vm in self.targets(service)]
        now = self.clock.monotonic()
        return self.loads.backlog_seconds(sample_targets(names, {}, self.rng), now=now)

    def on_sent(
        self, job: ModelJob, selection: EngineSelection, attempt_id: str
    ) -> None:
        """Add a request that is about to be sent to the engine's load."""
        work = SentWork(
            tokens=selection.expected.computed_tokens,
            tokens_ahead=selection.tokens_ahead,
            priority=job.priority,
            sent_at=self.clock.monotonic(),
            imported=selection.kept is not None,
        )
        self.loads.on_sent(selection.vm.vm_id, attempt_id, work)

    def on_first_token(self, selection: EngineSelection, attempt_id: str) -> None:
        """Update the estimates from the time of the first token."""
        now = self.clock.monotonic()
        self.loads.on_first_token(selection.vm.vm_id, attempt_id, now=now)
        self.context.on_first_token(selection)

    def on_ended(
        self,
        job: ModelJob,
        selection: EngineSelection,
        attempt_id: str,
        end: AnswerEnd | None,
    ) -> None:
        """Remove a request from the load and report a complete answer."""
        tokens = end.answer_tokens if end is not None else 0
        self.loads.on_ended(
            selection.vm.vm_id,
            attempt_id,
            answer_tokens=tokens,
            now=self.clock.monotonic(),
        )
        if end is None:
            return
        self.lengths.observe(
            job.route_match.customer.name,
            max_tokens=job.body.max_tokens,
            answer_tokens=end.answer_tokens,
        )
        self.context.on_ended(job, selection, end)

    def on_unreachable(self, selection: EngineSelection) -> None:
        """Avoid an unreachable engine until its next report arrives.

        The platform's VM list still contains a crashed engine for some time.
        """
        self.health.on_unreachable(selection.vm.vm_id)

    def on_connection_lost(self, selection: EngineSelection) -> None:
        """Count an interrupted answer.

        After several within a short time, the engine is temporarily avoided.
        """
        self.health.on_connection_lost(selection.vm.vm_id, self.clock.monotonic())

    async def _async_option(
        self,
        job: ModelJob,
        weight_version: str,
        group: list[ServingEngine],
        constraints: Constraints,
    ) -> EngineSelection | Refused:
        """Return the best selection among the engines of one weight version."""
        blocks = blocks_of(job, weight_version)
        locations = await self.context.async_lookup(blocks)
        now = self.clock.monotonic()
        vms = {engine.vm.vm_id: engine.vm for engine in group}
        candidates = {
            name: self._candidate(job, vms[name], locations, now)
            for name in sample_targets(list(vms), locations.cached_blocks, self.rng)
        }
        choice = choose(
            LeastLoaded() if constraints.isolated else self.policy,
            self._route_request(job, locations, now),
            list(candidates.values()),
            job.route_match.document.document.tiers.weights,
            self.rng,
        )
        if isinstance(choice, Refused):
            return choice
        return EngineSelection(
            vm=vms[choice.target],
            incarnation=self.reports[choice.target].incarnation,
            blocks=blocks,
            kept=choice.kept,
            expected=choice.expected,
            tokens_ahead=candidates[choice.target].tokens_ahead,
        )

    def _candidate(
        self, job: ModelJob, vm: VmRecord, locations: BlockLocations, now: float
    ) -> Candidate:
        same_zone = vm.zone == self.zone
        return self.loads.candidate(
            vm.vm_id,
            cached_blocks=locations.cached_blocks.get(vm.vm_id, 0),
            priority=job.priority,
            round_trip_seconds=SAME_ZONE_ROUND_TRIP_SECONDS
            if same_zone
            else OTHER_ZONE_ROUND_TRIP_SECONDS,
            now=now,
        )

    def _route_request(
        self, job: ModelJob, locations: BlockLocations, now: float
    ) -> RouteRequest:
        return RouteRequest(
            customer=job.route_match.customer.name,
            prompt_tokens=token_count(job.body.prompt),
            answer_tokens=self.expected_answer_tokens(job),
            priority=job.priority,
            deadline=max(job.deadline_at - now, 0.0),
            sequence=self.sequence,
            stored_prefixes=locations.kept,
        )


def _by_version(found: list[ServingEngine]) -> dict[str, list[ServingEngine]]:
    groups: dict[str, list[ServingEngine]] = {}
    for engine in found:
        groups.setdefault(engine.weight_version, []).append(engine)
    return groups


def _best(options: list[EngineSelection | Refused]) -> EngineSelection:
    """Return the option with the earliest first token.

    Raises
    ------
    NoTargetError
        No engine serves the model at the moment.
    OverloadedError
        At least one engine serves the model, but none can meet the deadline.
    """
    selections = [option for option in options if isinstance(option, EngineSelection)]
    if selections:
        return min(selections, key=lambda option: option.expected.first_token)
    refusals = [option for option in options if isinstance(option, Refused)]
    retry_after = min(
        (refused.retry_after for refused in refusals),
        default=NO_TARGET_RETRY_AFTER_SECONDS,
    )
    past_deadline = [
        refused for refused in refusals if refused.reason is RefusalReason.DEADLINE
    ]
    if past_deadline:
        raise OverloadedError("the deadline can't be met", retry_after=retry_after)
    raise NoTargetError(
        "no engine serves the model at the moment", retry_after=retry_after
    )
