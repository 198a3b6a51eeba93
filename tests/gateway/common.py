"""Builders of calls, routes, targets and scripted exchanges."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
import logging
import time
from typing import Any

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.coordinator import Gateway, GatewaySettings
from gypsumsail.gateway.models import (
    Address,
    Call,
    CallerLimits,
    CallKind,
    Customer,
    EngineSize,
    HeaderPairs,
    Prompt,
    PromptPart,
    Route,
    RoutingDocument,
    Service,
    TargetEntry,
    TargetPhase,
    WeightedService,
)
from gypsumsail.gateway.placer import FleetView
from gypsumsail.gateway.port import AnswerHead, SendTerms
from gypsumsail.gateway.retry_budget import RetryLimit
from gypsumsail.gateway.targets import TargetTable
from gypsumsail.gateway.telemetry import GatewayTelemetry
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.metrics.registry import MetricsRegistry

MODEL = "m0"
ENGINES = "engines"
PORTAL = "portal"
LIMIT = RetryLimit(ratio=0.2, window=10.0, slack=54.0)
KEY = "key-of-a"


class RunningClock:
    """A clock that runs from a round time."""

    def __init__(self) -> None:
        self.begun = time.monotonic()

    def monotonic(self) -> float:
        """Return the time since the start, and 1,000 seconds."""
        return 1_000.0 + time.monotonic() - self.begun

    def wall(self) -> float:
        """Return the same time."""
        return self.monotonic()


def route(name: str = "r", **changes: Any) -> Route:
    """Return a route of a plain service that may be repeated."""
    plain = Route(
        name=name,
        host="h.example",
        prefix="/a/",
        kind=CallKind.REPEATABLE,
        timeout=5.0,
        latency_goal=0.4,
        priority=2,
        services=(WeightedService(service=PORTAL, weight=1),),
        max_targets=2,
        is_public=False,
        is_resumable=False,
    )
    return replace(plain, **changes)


def stream_route(**changes: Any) -> Route:
    """Return a route of model engines."""
    services = (WeightedService(service=ENGINES, weight=1),)
    defaults: dict[str, Any] = {
        "kind": CallKind.STREAM,
        "prefix": "/s/",
        "services": services,
        "priority": 1,
    }
    return route("s", **(defaults | changes))


def document(*routes: Route, **changes: Any) -> RoutingDocument:
    """Return a document with one plain service and one of engines."""
    plain = RoutingDocument(
        revision=1,
        version=1,
        routes=routes,
        services={
            PORTAL: Service(
                name=PORTAL, health_path="/healthz", max_connections=100, engine=None
            ),
            ENGINES: Service(
                name=ENGINES,
                health_path="/healthz",
                max_connections=360,
                engine=EngineSize(
                    slots=64, memory_tokens=41_600, token_bytes=18_432, models=(MODEL,)
                ),
            ),
        },
        stores=(),
        limits=CallerLimits(),
        customers_by_key={KEY: Customer(name="a")},
    )
    return replace(plain, **changes)


def target(name: str = "t1", service: str = PORTAL, **changes: Any) -> TargetEntry:
    """Return a ready target."""
    entry = TargetEntry(
        name=name,
        life=1,
        service=service,
        address=Address(host="10.0.0.1", port=80),
        zone="z1",
        slots=6,
        phase=TargetPhase.READY,
    )
    return replace(entry, **changes)


def engine(name: str = "e1", version: int = 1, **changes: Any) -> TargetEntry:
    """Return a ready engine."""
    defaults: dict[str, Any] = {"slots": 64, "weight_versions": {MODEL: version}}
    return target(name, ENGINES, **(defaults | changes))


def prompt(head: int = 2_500, own: int = 5_000, rest: int = 1_700) -> Prompt:
    """Return a prompt of a shared head, a caller's document and a question."""
    parts = (
        PromptPart(name="head", tokens=head),
        PromptPart(name="own", tokens=own),
        PromptPart(name="rest", tokens=rest),
    )
    return Prompt(
        model=MODEL, input_tokens=head + own + rest, output_tokens=10, parts=parts
    )


def call(path: str = "/a/x", *, now: float = 1_000.0, **changes: Any) -> Call:
    """Return a call that a customer sends."""
    plain = Call(
        request_id="id-1",
        method=b"GET",
        target=path.encode(),
        host="h.example",
        path=path,
        headers=(),
        body=b"",
        api_key=KEY,
        received_at=now,
        deadline=now + 4.0,
        prompt=None,
    )
    return replace(plain, **changes)


@dataclass
class ScriptedExchange:
    """An exchange whose answer is given beforehand.

    Attributes
    ----------
    body
        Pieces of the body; an exception in their place is raised.
    delay
        Seconds until the head comes, from when it is first waited for.
    hangs
        Whether the head never comes.
    """

    status: int = 200
    body: list[bytes | Exception] = field(default_factory=lambda: [b"whole"])
    is_signed: bool = True
    says_not_run: bool = False
    is_wrong_target: bool = False
    target_name: str = ""
    weight_version: int | None = None
    hangs: bool = False
    delay: float = 0.0
    head_at: float = 0.0
    head_error: TransportError | None = None
    is_aborted: bool = False
    is_finished: bool = False

    async def async_head(self) -> AnswerHead:
        """Return the head."""
        now = time.monotonic()
        self.head_at = self.head_at or now + self.delay
        await asyncio.sleep(max(self.head_at - now, 0.0))
        if self.hangs:
            await asyncio.Event().wait()
        if self.head_error is not None:
            raise self.head_error
        return AnswerHead(
            status=self.status,
            is_signed=self.is_signed,
            says_not_run=self.says_not_run,
            is_wrong_target=self.is_wrong_target,
            target_name=self.target_name,
            load=None,
            weight_version=self.weight_version,
            headers=((b"x-signature", b"s"),) if self.is_signed else (),
        )

    async def async_read(self) -> bytes:
        """Return the next piece."""
        await asyncio.sleep(0)
        if not self.body:
            return b""
        piece = self.body.pop(0)
        if isinstance(piece, Exception):
            raise piece
        return piece

    async def async_read_all(self, limit: int) -> bytes:
        """Return the whole body."""
        found = b""
        while piece := await self.async_read():
            found += piece
        return found

    def finish(self) -> None:
        """Note the end."""
        self.is_finished = True

    def abort(self) -> None:
        """Note the end."""
        self.is_aborted = True


@dataclass
class Sent:
    """A call as it was sent."""

    target: TargetEntry
    call: Call
    terms: SendTerms


class ScriptedTargets:
    """Targets that answer in turn with what was given."""

    def __init__(self, *answers: ScriptedExchange | TransportError) -> None:
        self.answers = list(answers)
        self.sent: list[Sent] = []
        self.is_connectable = False
        self.checked: list[str] = []

    async def async_check(self, target: TargetEntry) -> None:
        """Take a connection or not, as was set."""
        self.checked.append(target.name)
        if not self.is_connectable:
            raise TransportError("connect: TimeoutError", sent=False)

    async def async_send(
        self, target: TargetEntry, call: Call, terms: SendTerms, now: float
    ) -> ScriptedExchange:
        """Return the next answer, or fail to connect."""
        answer = self.answers.pop(0)
        if isinstance(answer, TransportError):
            raise answer
        self.sent.append(Sent(target, call, terms))
        return answer

    def forget(self, target: TargetEntry) -> None:
        """Do nothing."""


class RecordedReply:
    """A reply that keeps what was sent."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: HeaderPairs = ()
        self.body = b""
        self.is_whole = False
        self.is_aborted = False

    @property
    def has_begun(self) -> bool:
        """Return whether any byte was sent."""
        return self.status is not None

    def send(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Keep a whole reply."""
        assert self.status is None
        self.status, self.headers, self.body = status, headers, body
        self.is_whole = True

    def begin(self, status: int, headers: HeaderPairs) -> None:
        """Keep a head."""
        assert self.status is None
        self.status, self.headers = status, headers

    def write(self, data: bytes) -> None:
        """Keep a part."""
        self.body += data

    def end(self) -> None:
        """Keep the end."""
        self.is_whole = True

    def abort(self) -> None:
        """Keep the break."""
        self.is_aborted = True

    async def async_drain(self) -> None:
        """Never wait."""


def fleet_view(
    targets: TargetTable, vms: Callable[[], int] = lambda: 1, **changes: Any
) -> FleetView:
    """Return a view in which nothing can be fetched from elsewhere."""
    view = FleetView(
        zone="z1",
        fetchable_parts=lambda service, scope, parts, now: 0,
        targets=targets,
        wanted={},
        rollout_seconds=12.0,
        vms=vms,
    )
    for name, value in changes.items():
        setattr(view, name, value)
    return view


def decision_log(clock: Clock) -> DecisionLog:
    """Return a log that nobody reads."""
    logger = logging.getLogger("tests.decisions")
    logger.propagate = False
    return DecisionLog(clock, logger)


def gateway(
    calls: ScriptedTargets,
    *entries: TargetEntry,
    routing: RoutingDocument | None = None,
) -> Gateway:
    """Return a gateway that knows some targets and a document."""
    clock = RunningClock()
    targets = TargetTable()
    for entry in entries:
        targets.update(entry, clock.monotonic())
    telemetry = GatewayTelemetry(decision_log(clock), MetricsRegistry())
    made = Gateway(
        fleet_view(targets),
        calls,
        clock,
        GatewaySettings(retry_limit=LIMIT),
        telemetry,
    )
    made.set_document(routing or document(route(), stream_route()))
    return made
