"""Data classes of the gateway: calls, routes, customers, services and targets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from gypsumsail.cold_targets.models import ColdTerms

HeaderPairs = tuple[tuple[bytes, bytes], ...]


class CallKind(StrEnum):
    """Whether and how a call may be retried.

    ``REPEATABLE`` calls may run at several targets. ``ONCE`` calls must not run twice.
    ``STREAM`` calls are answered with events, and only routes with ``is_resumable`` may
    resume them at another target.
    """

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
    """One service of a route, with the weight that sets its share of the calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Route of the calls of one host and path prefix.

    Attributes
    ----------
    timeout
        Seconds after which a call gets its final answer; 0 for the default.
    latency_goal
        Seconds within which an answer, or the first event of a stream, is on time.
    priority
        Priority of the calls; 0 is the most urgent.
    max_targets
        Largest number of targets to which one call is sent.
    is_public
        Whether calls without a known API key are accepted.
    is_resumable
        Whether a stream may be resumed at another target.
    patience
        Seconds without an event after which the caller of a stream disconnects, also
        before the first event; 0 where it waits until its deadline.
    home_regions
        Regions to which the calls and their kept context are confined; empty for any.
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
    patience: float = 0.0
    home_regions: frozenset[str] = frozenset()

    def allows(self, service: str) -> bool:
        """Return whether the calls of the route may go to a service."""
        return any(item.service == service for item in self.services)

    @property
    def may_repeat(self) -> bool:
        """Return whether a call may run at a second target."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.REPEATABLE


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSize:
    """Capacity of one engine (LLM inference server) of a service.

    Attributes
    ----------
    slots
        Requests that run at once.
    memory_tokens
        Tokens of running requests and cached prompt parts together.
    kv_bytes_per_token
        Bytes that are transferred for the cached context (KV cache) of one token.
    """

    slots: int
    memory_tokens: int
    kv_bytes_per_token: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of interchangeable targets.

    A service without engines is called plain, as are its targets and calls.

    Attributes
    ----------
    max_connections
        Connections that one target accepts from all VMs together.
    engine
        ``None`` for a plain service.
    cold
        Limits on its cold targets; ``None`` if its targets are never cold.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSize | None
    cold: ColdTerms | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ContextStore:
    """A store of cached context (the KV cache of prompt parts).

    Attributes
    ----------
    bytes_per_second
        Bandwidth of its link.
    first_byte_delay
        Latency in seconds that is added to each transfer.
    max_waiting_reads
        Largest number of reads that the store queues.
    is_managed
        Whether the gateway frees the parts that are not needed any more.
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
    """A customer with its settings in the routing document.

    Attributes
    ----------
    priority
        Overrides the priority of the route; ``None`` for no override.
    is_isolated
        Whether its cached context is not shared with other customers.
    is_ambiguous
        Whether its API key is that of other customers as well, and one of them is
        isolated. Calls with the key share nothing, as it is unknown whose they are.
    home_regions
        Regions to which its calls and kept context are confined; empty for any.
    """

    name: str
    priority: int | None = None
    is_isolated: bool = False
    is_ambiguous: bool = False
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the requests of callers, in bytes and seconds.

    Attributes
    ----------
    request_seconds
        Longest time from the first byte of a request to its last.
    idle_seconds
        Time that a connection may stay open without a request.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    request_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True)
class RoutingDocument:
    """The routing document in force.

    It comes from the platform, the service that stores documents and lists targets.

    Attributes
    ----------
    revision
        Platform revision at which the document was written; newer ones are larger.
    version
        Version number that the operator gave it.
    customers_by_key
        Customers by API key; ``None`` where callers need no key.
    isolated_customers
        Names of the customers whose cached context is not shared. A customer without
        keys can be among them: its calls may still wait, and its context is kept.
    invalid_fields
        Fields that can't be read, which are interpreted in the safe way.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    stores: tuple[ContextStore, ...]
    limits: CallerLimits
    customers_by_key: Mapping[str, Customer] | None
    isolated_customers: frozenset[str]
    invalid_fields: tuple[str, ...] = ()

    @cached_property
    def routes_by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """Return the routes of each host, sorted from the longest prefix."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda item: len(item.prefix), reverse=True))
            for host, routes in by_host.items()
        }


class TargetPhase(StrEnum):
    """Whether a target accepts new calls."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetEntry:
    """A target as the platform lists it.

    Attributes
    ----------
    life
        Start time of the target process in Unix milliseconds. It identifies one
        incarnation of the target; a restart loses all state.
    cold_seconds
        Seconds for which the target stays cold, as of the time its entry was written;
        ``None`` if the entry states no valid time.
    weight_versions
        Version of the weights by model.
    orders_taken
        Number of orders to load weights that the target has accepted since its start.
    build
        Version of the target's software; empty if its entry names none.
    """

    name: str
    life: int
    service: str
    address: Address
    zone: str
    slots: int
    phase: TargetPhase
    cold_seconds: float | None = 0.0
    weight_versions: Mapping[str, int] = field(default_factory=dict)
    orders_taken: int = 0
    build: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that engines cache as a unit.

    Other prompts may share every part but the last, the caller's question.
    """

    name: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """Model, token counts and parts of a generation request.

    ``input_tokens`` is the length of the prompt; ``tokens`` includes the output.
    """

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def tokens(self) -> int:
        """Return the memory in tokens that the generation occupies at its end."""
        return self.input_tokens + self.output_tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A caller's request with its complete body.

    Attributes
    ----------
    target
        HTTP request target (path and query) exactly as the caller sent it, not the
        server that serves the call.
    headers
        Headers that are forwarded to a target.
    deadline
        Time at which the caller stops waiting; ``None`` where it sent none.
    prompt
        ``None`` for a plain call.
    resume_after
        Id of the last event that the caller has received of a stream; empty for a
        new stream.
    resumes
        Id of the request that brought the first event of that stream.
    received_headers
        All headers as the caller sent them.
    reads_chunks
        Whether the caller can read an answer in chunks, and so tell a stream that broke
        off from a complete one.
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
    resumes: str = ""
    received_headers: HeaderPairs = ()
    reads_chunks: bool = True
