"""Decodes values of the platform's object store into the gateway's types."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from gypsumsail.cold_targets.const import (
    DEFAULT_COLD_PER_SECOND,
    DEFAULT_COLD_SECONDS,
    MAX_COLD_PER_SECOND,
    MAX_COLD_SECONDS,
    MIN_COLD_PER_SECOND,
)
from gypsumsail.cold_targets.models import ColdTerms
from gypsumsail.core.errors import GypsumsailError
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.models import (
    CallerLimits,
    CallKind,
    ContextStore,
    EngineSize,
    Route,
    RoutingDocument,
    Service,
    TargetEntry,
    TargetPhase,
    WeightedService,
)
from gypsumsail.platform.customers import (
    CustomerFields,
    customers_by_key,
    invalid_fields_of,
    isolated_customers,
    repair_customers,
)
from gypsumsail.platform.lenient_json import encode_json, read_json
from gypsumsail.platform.text import (
    MAX_SMALL_VALUE_BYTES,
    NO_REGION,
    Name,
    Number,
    parse_address,
    parse_home_regions,
)

ABSENT = msgspec.Raw(b"")
"""Value of an absent field that is decoded separately."""
BITS_PER_BYTE = 8
# Callers of streams leave after the longest of these: some seconds, a multiple of the
# route's latency goal, and a multiple of its longest pause that is still on time.
MIN_PATIENCE_SECONDS = 2.0
PATIENCE_GOALS = 4
PATIENCE_GAPS = 8
DEFAULT_TIMEOUT_MS = 60_000.0
CALL_KINDS = {
    "safe": CallKind.REPEATABLE,
    "unsafe": CallKind.ONCE,
    "streaming": CallKind.STREAM,
}
"""Call kinds by their name in the routing document.

A safe call may be repeated; an unsafe call must not run twice.
"""


class EntryInvalidError(GypsumsailError):
    """A value in the platform's object store is invalid for its kind."""

    code = "entry_invalid"


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    goal_ms: float = 1000.0
    priority: int = 5
    service: str = ""
    split: list[_Split] = []
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    home_regions: Any = None


class _Model(msgspec.Struct, frozen=True):
    name: str


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 1
    kv_tokens: int = 0
    kv_token_bytes: int = 0
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True):
    """A group of targets, or a context store if ``kv_store_addr`` is set.

    Attributes
    ----------
    cold_s
        Seconds for which a target is cold after it starts; 0 for never.
    cold_per_s
        Requests per second that a cold target tolerates.
    """

    name: str
    health_path: str = ""
    max_conns: int = 100
    engine: _Engine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_tokens: int = 0
    link_mbps: float = 0.0
    first_ms: float = 0.0
    max_inflight: int = 1
    managed: bool = False
    cold_s: msgspec.Raw = ABSENT
    cold_per_s: msgspec.Raw = ABSENT


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class DocumentFields(msgspec.Struct, frozen=True):
    """Fields of a routing document, as the operator writes them."""

    version: Number
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[CustomerFields] | None = None


class _LoadedModel(msgspec.Struct, frozen=True):
    name: Name
    version: Number = 0


class _Target(msgspec.Struct, frozen=True):
    """Object of a target.

    Attributes
    ----------
    born
        Start time in Unix milliseconds, which changes with each restart.
    cold_left_ms
        Time for which the target stays cold, as of when the object was written. It
        is decoded separately, so that an invalid value does not cost the target.
    call_seq
        Number of orders to load weights that the target has accepted.
    version
        Version of the target's software, not of its weights.
    """

    service: Name
    addr: Name
    state: Name
    born: Number = 0
    zone: Name = ""
    slots: Number = 1
    cold_left_ms: msgspec.Raw = ABSENT
    models: list[_LoadedModel] = []
    call_seq: Number = 0
    version: Name = ""


class _Weights(msgspec.Struct, frozen=True):
    model: Name
    version: Number


class _Evacuation(msgspec.Struct, frozen=True):
    """Object of an evacuated zone; its existence says all."""


def decode_document(value: bytes, revision: int) -> RoutingDocument:
    """Decode a routing document; ``revision`` is the version of its object.

    Raises
    ------
    EntryInvalidError
        The value is malformed, or a route has an unknown kind.
    """
    document, invalid_customers = decode_document_fields(value)
    stores, services = [], {}
    invalid_fields: list[str] = []
    for item in document.services:
        if item.kv_store_addr:
            stores.append(_context_store(item))
        else:
            services[item.name] = _service(item, invalid_fields)
    customers = document.tenants or []
    limits = document.limits
    return RoutingDocument(
        revision=revision,
        version=document.version,
        routes=tuple(_route(item) for item in document.routes),
        services=services,
        stores=tuple(store for store in stores if store is not None),
        limits=CallerLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            request_seconds=limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
            idle_seconds=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
        ),
        customers_by_key=(
            None if document.tenants is None else customers_by_key(customers)
        ),
        isolated_customers=isolated_customers(customers),
        invalid_fields=(
            *invalid_fields,
            *invalid_customers,
            *_invalid_homes(document.routes),
            *invalid_fields_of(customers),
        ),
    )


def decode_document_fields(value: bytes) -> tuple[DocumentFields, tuple[str, ...]]:
    """Decode the fields of a routing document.

    Returns
    -------
    tuple
        The fields, with safe values in place of those of customers that can't be read,
        and the names of the latter.

    Raises
    ------
    EntryInvalidError
        The value is malformed elsewhere.
    """
    try:
        return _decode(value, DocumentFields), ()
    except EntryInvalidError:
        found = read_json(value)
        if not isinstance(found, dict):
            raise
    invalid_customers = repair_customers(found.get("tenants"))
    return _decode(encode_json(found), DocumentFields), invalid_customers


def read_isolated_customers(value: bytes) -> frozenset[str]:
    """Return the customers that a document isolates of which the rest is invalid.

    The result is empty if the customers can't be read either.
    """
    found = read_json(value)
    entries = found.get("tenants") if isinstance(found, dict) else None
    if not isinstance(entries, list):
        return frozenset()
    repair_customers(entries)
    return isolated_customers(msgspec.convert(entries, list[CustomerFields]))


def decode_fields(value: bytes, kind: Any) -> Any:
    """Decode a part of the fields of a routing document.

    Raises
    ------
    EntryInvalidError
        The value is malformed.
    """
    return _decode_leniently(value, kind)


def decode_target(name: str, value: bytes) -> TargetEntry:
    """Decode the object of a target.

    Raises
    ------
    EntryInvalidError
        The value is malformed or too large, or its address, state or start time is
        invalid.
    """
    _check_size(value)
    item = _decode_leniently(value, _Target)
    address = parse_address(item.addr)
    if address is None or item.state not in ("ready", "draining"):
        raise EntryInvalidError(f"target {name} has an invalid address or state")
    is_draining = item.state == "draining"
    return TargetEntry(
        name=name,
        life=item.born,
        service=item.service,
        address=address,
        zone=item.zone,
        slots=max(item.slots, 1),
        phase=TargetPhase.LEAVING if is_draining else TargetPhase.READY,
        cold_seconds=_cold_seconds(item),
        weight_versions={model.name: model.version for model in item.models},
        orders_taken=item.call_seq,
        build=item.version,
    )


def decode_weights(value: bytes) -> tuple[str, int]:
    """Decode a weights object into a model name and its version."""
    _check_size(value)
    weights = _decode(value, _Weights)
    return weights.model, weights.version


def check_evacuation(value: bytes) -> None:
    """Check the object of an evacuated zone; raises ``EntryInvalidError``."""
    _decode(value, _Evacuation)


def _check_size(value: bytes) -> None:
    """Check a value that another VM may have passed on without a check."""
    if len(value) > MAX_SMALL_VALUE_BYTES:
        raise EntryInvalidError(f"the value has {len(value)} bytes")
    if not value:
        raise EntryInvalidError("the value is empty or was left out")


def _decode(value: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as err:
        raise EntryInvalidError(f"can't decode the value: {err}") from err


def _decode_leniently(value: bytes, kind: type[Any]) -> Any:
    """Decode JSON in which fields that are decoded separately may be unreadable."""
    try:
        return _decode(value, kind)
    except EntryInvalidError:
        found = read_json(value)
        if found is None:
            raise
        return _decode(encode_json(found), kind)


def read_number(raw: msgspec.Raw, largest: float) -> float | None:
    """Return a number from 0 to ``largest``; ``None`` if the JSON value is no such."""
    try:
        number = msgspec.json.decode(raw, type=float)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError):
        return None
    return number if 0 <= number <= largest else None


def _cold_seconds(item: _Target) -> float | None:
    left_ms = read_number(item.cold_left_ms, MAX_COLD_SECONDS * MILLISECONDS_PER_SECOND)
    return None if left_ms is None else left_ms / MILLISECONDS_PER_SECOND


def _cold_terms(item: _Service, invalid_fields: list[str]) -> ColdTerms | None:
    """Return the limits on cold targets; ``None`` if the service states no cold time.

    An invalid cold time counts as a long one, an invalid rate as a low one.
    """
    if item.cold_s == ABSENT:
        return None
    seconds = read_number(item.cold_s, MAX_COLD_SECONDS)
    if seconds == 0:
        return None
    if seconds is None:
        invalid_fields.append(f"services.{item.name}.cold_s")
    per_second = read_number(item.cold_per_s, MAX_COLD_PER_SECOND)
    if not per_second or per_second < MIN_COLD_PER_SECOND:
        invalid_fields.append(f"services.{item.name}.cold_per_s")
        per_second = DEFAULT_COLD_PER_SECOND
    return ColdTerms(
        seconds=DEFAULT_COLD_SECONDS if seconds is None else seconds,
        per_second=per_second,
    )


def _route(item: _Route) -> Route:
    split = item.split or [_Split(service=item.service)]
    kind = CALL_KINDS.get(item.kind)
    if kind is None:
        raise EntryInvalidError(f"route {item.name} has an unknown kind")
    return Route(
        name=item.name,
        host=item.host.lower(),
        prefix=item.path_prefix,
        kind=kind,
        timeout=item.timeout_ms / MILLISECONDS_PER_SECOND,
        latency_goal=item.goal_ms / MILLISECONDS_PER_SECOND,
        priority=item.priority,
        services=tuple(
            WeightedService(service=part.service, weight=part.weight) for part in split
        ),
        max_targets=max(item.attempts, 1),
        is_public=item.public,
        is_resumable=item.resumable,
        patience=_patience(item) if kind is CallKind.STREAM else 0.0,
        home_regions=parse_home_regions(item.home_regions),
    )


def _invalid_homes(routes: Iterable[_Route]) -> Iterator[str]:
    """Return the fields of routes whose home regions can't be read."""
    for item in routes:
        if parse_home_regions(item.home_regions) is NO_REGION:
            yield f"routes[{item.name}].home_regions"


def _patience(item: _Route) -> float:
    """Return the seconds of silence after which the caller of a stream leaves."""
    return max(
        MIN_PATIENCE_SECONDS,
        item.goal_ms * PATIENCE_GOALS / MILLISECONDS_PER_SECOND,
        item.gap_aim_ms * PATIENCE_GAPS / MILLISECONDS_PER_SECOND,
    )


def _service(item: _Service, invalid_fields: list[str]) -> Service:
    engine = None
    if item.engine is not None:
        engine = EngineSize(
            slots=item.engine.slots,
            memory_tokens=item.engine.kv_tokens,
            kv_bytes_per_token=item.engine.kv_token_bytes,
            models=tuple(model.name for model in item.engine.models),
        )
    return Service(
        name=item.name,
        health_path=item.health_path,
        max_connections=item.max_conns,
        engine=engine,
        cold=_cold_terms(item, invalid_fields),
    )


def _context_store(item: _Service) -> ContextStore | None:
    """Return the store, or ``None`` if its address is malformed; it is then ignored."""
    address = parse_address(item.kv_store_addr)
    if address is None:
        return None
    return ContextStore(
        name=item.name,
        address=address,
        zone=item.zone,
        capacity_tokens=item.kv_tokens,
        bytes_per_second=item.link_mbps * 1_000_000 / BITS_PER_BYTE,
        first_byte_delay=item.first_ms / MILLISECONDS_PER_SECOND,
        max_waiting_reads=item.max_inflight,
        is_managed=item.managed,
    )
