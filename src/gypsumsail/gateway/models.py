"""Calls, routes, customers and targets of the gateway."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

HeaderPairs = tuple[tuple[bytes, bytes], ...]


class CallKind(StrEnum):
    """What may be done again with a call."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as text."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One service of a route, and its share of the calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where calls of one host and path prefix go.

    Attributes
    ----------
    timeout
        Seconds after which a call gets its final answer.
    latency_goal
        Seconds within which an answer, or the first event of a stream, is on time.
    priority
        Rank among calls; 0 is the most urgent.
    max_targets
        Most targets to which one call is sent.
    is_resumable
        Whether a stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout: float
    latency_goal: float
    priority: int
    services: tuple[WeightedService, ...]
    max_targets: int
    is_public: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Return whether a call may run at a second target."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.REPEATABLE


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSize:
    """What one model engine of a service holds.

    Attributes
    ----------
    memory_tokens
        Tokens of running requests and cached parts together.
    token_bytes
        Bytes that one token's kept context takes on a link.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of targets that are alike.

    Attributes
    ----------
    max_connections
        Connections that one target takes from all VMs together.
    engine
        ``None`` for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSize | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ContextStore:
    """A store of kept context.

    Attributes
    ----------
    bytes_per_second
        Speed of its link.
    first_byte_delay
        Seconds that each transfer waits in addition.
    """

    name: str
    address: Address
    zone: str
    capacity_tokens: int
    bytes_per_second: float
    first_byte_delay: float
    max_waiting_reads: int
    is_managed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Customer:
    """A customer and what the document gives it.

    Attributes
    ----------
    priority
        Goes before the urgency of a route; ``None`` leaves that in force.
    is_isolated
        Whether its kept context is shared with no other customer.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What callers may send, in bytes and seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True)
class RoutingDocument:
    """The routing document in force.

    Attributes
    ----------
    revision
        Revision of the platform at which it was written; orders documents.
    version
        Number that the operator gave it.
    customers_by_key
        ``None`` where callers need no key.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    stores: tuple[ContextStore, ...]
    limits: CallerLimits
    customers_by_key: Mapping[str, Customer] | None

    @cached_property
    def routes_by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """Return the routes of each host, the longest prefix first."""
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda item: len(item.prefix), reverse=True))
            for host, routes in found.items()
        }


class TargetPhase(StrEnum):
    """Whether a target takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetEntry:
    """A target as the platform lists it.

    Attributes
    ----------
    life
        Start of the target in Unix milliseconds; another life of the same name
        knows nothing of the one before.
    cold_seconds
        How much longer it stays slow after its start.
    weight_versions
        Version of the weights by model.
    orders_taken
        Number of orders that this life has accepted.
    """

    name: str
    life: int
    service: str
    address: Address
    zone: str
    slots: int
    phase: TargetPhase
    cold_seconds: float = 0.0
    weight_versions: Mapping[str, int] = field(default_factory=dict)
    orders_taken: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other prompts may share."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """What a call says of its generation."""

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def tokens(self) -> int:
        """Return the memory that the run takes at its end, in tokens."""
        return self.input_tokens + self.output_tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call of a caller, read whole.

    Attributes
    ----------
    target
        Request target exactly as the caller sent it.
    headers
        Those that go on to a target.
    deadline
        Time at which the caller stops waiting; ``None`` when it named none.
    resume_after
        Last event that the caller has of a stream; empty for a new one.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: HeaderPairs
    body: bytes
    api_key: str
    received_at: float
    deadline: float | None
    prompt: Prompt | None
    resume_after: str = ""
