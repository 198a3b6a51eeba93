"""Builders and test doubles for tests of the relay."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import cast

from gypsumsail.context.prompt import make_prompt_blocks
from gypsumsail.core.errors import NoTargetError, TransportError
from gypsumsail.document.models import Route
from gypsumsail.entry.models import CallHead, CompletionBody, ModelJob, RouteMatch
from gypsumsail.object_api.port import VmRecord, VmRole, VmState
from gypsumsail.once.models import AtMostOnceRequest, Outcome, Reservation
from gypsumsail.relay.attempts import AttemptDependencies
from gypsumsail.relay.model_work import ModelWork
from gypsumsail.relay.models import Constraints, EngineSelection, Selection
from gypsumsail.routing.models import Expectation
from gypsumsail.suspects.models import TargetInstance, Verdict
from gypsumsail.suspects.table import SlotTable, SuspectTable
from gypsumsail.targets.port import (
    AnswerEnd,
    AnswerToken,
    EngineClient,
    EngineRequest,
    FinishReason,
)
from tests.common import EventLog, ManualClock, make_document

ANSWER = ("Oui", ",", " le", " vol", " est", " éligible", ".")


def make_vm(name: str) -> VmRecord:
    """Return the VM record of an engine."""
    return VmRecord(
        vm_id=name,
        incarnation="1",
        zone="brest-hall",
        role=VmRole.ENGINE,
        service="claims",
        state=VmState.LIVE,
        url="http://127.0.0.1:1",
    )


def make_job(*, repeatable: bool = True) -> ModelJob:
    """Return a model job."""
    route = Route(path="/v1/completions", repeatable=repeatable)
    document = make_document(routes=(route,))
    return ModelJob(
        request_id="request-1",
        head=CallHead(
            method="POST",
            path="/v1/completions",
            query="",
            content_type="application/json",
            api_key="key-1",
            idempotency_key="",
            priority=None,
            deadline=None,
        ),
        route_match=RouteMatch(
            document=document, route=route, customer=document.document.customers[0]
        ),
        priority=5,
        accepted_at=1_000.0,
        deadline_at=1_030.0,
        fingerprint="fingerprint",
        request_digest=b"digest",
        model=document.document.models[0],
        adapter="",
        body=CompletionBody(model="dossier", prompt="Vol AF 1234", stream=True),
    )


def make_selection(name: str) -> EngineSelection:
    """Return a selection of the engine with this name."""
    blocks = make_prompt_blocks(
        "Vol AF 1234",
        service="claims",
        customer="bretagne-vols",
        model="dossier",
        adapter="",
        weight_version="w1",
    )
    return EngineSelection(
        vm=make_vm(name),
        incarnation="1",
        blocks=blocks,
        kept=None,
        expected=Expectation(
            first_token=0.1,
            completion=0.2,
            computed_tokens=3,
            imported_tokens=0,
            link_bytes=0,
        ),
        tokens_ahead=0.0,
    )


@dataclass
class ScriptedEngine:
    """An engine whose answer fails at a given token.

    Attributes
    ----------
    fail_after
        Tokens after which the stream fails; ``None`` for a complete answer. The
        engine fails before it answers if the number is 0.
    sent
        ``TransportError.sent`` of the failure if ``fail_after`` is 0.
    skipped_tokens
        Tokens that the engine omits at the start.
    crashes
        Whether the prober reports the engine as crashed.
    """

    fail_after: int | None = None
    sent: bool = True
    skipped_tokens: int = 0
    crashes: bool = False
    requests: list[EngineRequest] = field(default_factory=list)

    async def stream(
        self, request: EngineRequest
    ) -> AsyncIterator[tuple[AnswerToken | AnswerEnd, ...]]:
        """Yield the remaining answer."""
        self.requests.append(request)
        if self.fail_after == 0:
            raise TransportError("broken", sent=self.sent)
        start = request.first_token + self.skipped_tokens
        for count, index in enumerate(range(start, len(ANSWER)), start=1):
            yield (AnswerToken(index=index, text=ANSWER[index]),)
            if count == self.fail_after:
                raise TransportError("broken", sent=True)
        yield (
            AnswerEnd(
                finish_reason=FinishReason.STOP,
                weight_version="w1",
                prompt_tokens=3,
                cached_tokens=0,
                imported_tokens=0,
                answer_tokens=len(ANSWER),
            ),
        )


class ScriptedSelector:
    """Selects the first engine that is not excluded and records what is reported."""

    def __init__(self, engines: dict[str, ScriptedEngine]) -> None:
        self.engines = engines
        self.seen_constraints: list[Constraints] = []
        self.unreachable_targets: list[str] = []
        self.lost_targets: list[str] = []
        self.unreachable_reported = asyncio.Event()
        self.selection_refused = asyncio.Event()

    async def async_select(
        self, job: ModelJob, constraints: Constraints
    ) -> EngineSelection:
        """Return the first engine that is not excluded."""
        self.seen_constraints.append(constraints)
        for name in self.engines:
            if name not in constraints.excluded:
                return make_selection(name)
        self.selection_refused.set()
        raise NoTargetError("none left")

    def on_sent(
        self, job: ModelJob, selection: EngineSelection, attempt_id: str
    ) -> None:
        """Do nothing."""

    def on_first_token(self, selection: EngineSelection, attempt_id: str) -> None:
        """Do nothing."""

    def on_unreachable(self, selection: EngineSelection) -> None:
        """Record the engine."""
        self.unreachable_targets.append(selection.vm.vm_id)
        self.unreachable_reported.set()

    def on_connection_lost(self, selection: EngineSelection) -> None:
        """Record the engine."""
        self.lost_targets.append(selection.vm.vm_id)

    def on_ended(
        self,
        job: ModelJob,
        selection: EngineSelection,
        attempt_id: str,
        end: AnswerEnd | None,
    ) -> None:
        """Do nothing."""


class TokenSink:
    """Records what a caller would receive."""

    def __init__(self) -> None:
        self.response_started = False
        self.parts: list[str] = []
        self.end: AnswerEnd | None = None

    async def async_tokens(self, tokens: list[AnswerToken]) -> None:
        """Record the tokens."""
        self.parts += [token.text for token in tokens]

    async def async_end(self, end: AnswerEnd) -> None:
        """Record the end."""
        self.end = end


class BlockedSink(TokenSink):
    """A caller that stops reading.

    Attributes
    ----------
    blocked
        Set when the first tokens are waiting for the caller to read.
    """

    def __init__(self) -> None:
        super().__init__()
        self.blocked = asyncio.Event()

    async def async_tokens(self, tokens: list[AnswerToken]) -> None:
        """Wait until cancelled."""
        self.blocked.set()
        await asyncio.Event().wait()


class LocalSuspects:
    """Verdicts from the local tables of a single entry."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.table = SuspectTable()
        self.slots = SlotTable()

    async def async_begin(self, fingerprint: str, attempt_id: str) -> Verdict:
        """Return the verdict of the table."""
        return self.table.begin(fingerprint, attempt_id, "entry/1", self.clock.now)

    async def async_place(
        self, fingerprint: str, attempt_id: str, instance: TargetInstance
    ) -> None:
        """Record the placement in the table."""
        self.table.place(fingerprint, attempt_id, instance)

    async def async_end(
        self, fingerprint: str, attempt_id: str, *, whole: bool
    ) -> None:
        """Record the end in the table."""
        self.table.end(fingerprint, attempt_id, whole=whole)

    async def async_crash(
        self,
        fingerprint: str,
        attempt_id: str,
        instance: TargetInstance,
        *,
        isolated: bool,
    ) -> Verdict:
        """Record the crash in the table."""
        return self.table.record_crash(
            fingerprint, attempt_id, instance, isolated=isolated, now=self.clock.now
        )

    async def async_take_slot(self, target: str, attempt_id: str) -> bool:
        """Take the slot in the local table."""
        return self.slots.take(target, attempt_id, self.clock.now)

    async def async_free_slot(self, target: str, attempt_id: str) -> None:
        """Free the slot in the local table."""
        self.slots.free(target, attempt_id)


class AtMostOnceLog:
    """Records the outcomes of reservations."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def sent(self, reservation: Reservation) -> None:
        """Record the call."""
        self.calls.append("sent")

    def ended(self, reservation: Reservation, outcome: Outcome, now: float) -> None:
        """Record the outcome."""
        self.calls.append(f"ended: {outcome.run_state.value}")

    def abandoned(self, reservation: Reservation, now: float) -> None:
        """Record the call."""
        self.calls.append("abandoned")


class UnlimitedRetryBudgets:
    """Retry budgets without a limit."""

    def try_spend(self, service: str, now: float) -> bool:
        """Allow every retry."""
        return True


class ScriptedProber:
    """Reports an engine as crashed if its ``crashes`` is set."""

    def __init__(self, engines: dict[str, ScriptedEngine]) -> None:
        self.engines = engines

    async def async_has_crashed(self, selection: Selection) -> bool:
        """Return the value set by the test."""
        return self.engines[selection.vm.vm_id].crashes


@dataclass
class AttemptHarness:
    """The dependencies of an attempt loop, with test doubles."""

    engines: dict[str, ScriptedEngine]
    clock: ManualClock = field(default_factory=ManualClock)
    once: AtMostOnceLog = field(default_factory=AtMostOnceLog)
    log: EventLog = field(default_factory=EventLog)
    sink: TokenSink = field(default_factory=TokenSink)
    cancelled: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the doubles that depend on other fields."""
        self.suspects = LocalSuspects(self.clock)
        self.selector = ScriptedSelector(self.engines)

    def deps(self) -> AttemptDependencies:
        """Return the dependencies of the loop."""
        return AttemptDependencies(
            suspects=self.suspects,
            once=self.once,
            budgets=UnlimitedRetryBudgets(),
            prober=ScriptedProber(self.engines),
            recorder=self.log,
            clock=self.clock,
        )

    def work(self, job: ModelJob) -> ModelWork:
        """Return the work of a job."""

        def engine_of(vm: VmRecord) -> EngineClient:
            return cast(EngineClient, self.engines[vm.vm_id])

        return ModelWork(
            job,
            self.sink,
            selector=self.selector,
            engine_of=engine_of,
            cancel=lambda vm, _: self.cancelled.append(vm.vm_id),
            clock=self.clock,
        )


def make_reservation(clock: ManualClock) -> Reservation:
    """Return a reservation that is valid for five seconds."""
    request = AtMostOnceRequest(
        customer="bretagne-vols", service="claims", key="k", body_digest=b"digest"
    )
    return Reservation(
        request=request, attempt_id="attempt", valid_until=clock.now + 5.0
    )
