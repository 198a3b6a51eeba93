"""Finds entries without effect, unknown names and contradicting limits."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from gypsumsail.document_check.models import (
    DecodedDocument,
    DocumentFinding,
    RouteEntry,
    Severity,
)
from gypsumsail.gateway.const import DEFAULT_TIMEOUT_SECONDS
from gypsumsail.gateway.models import CallKind


def check_document(
    decoded: DecodedDocument, memory_bytes: int = 0
) -> tuple[DocumentFinding, ...]:
    """Return the findings about a document that VMs accept.

    Parameters
    ----------
    memory_bytes
        Memory of a VM; 0 if it is unknown.
    """
    return tuple(
        chain(
            _check_matches(decoded),
            _check_services(decoded),
            _check_weights(decoded),
            _check_customers(decoded),
            _check_routes(decoded),
            _check_limits(decoded, memory_bytes),
        )
    )


def _error(place: str, message: str) -> DocumentFinding:
    return DocumentFinding(severity=Severity.ERROR, place=place, message=message)


def _warning(place: str, message: str) -> DocumentFinding:
    return DocumentFinding(severity=Severity.WARNING, place=place, message=message)


def _check_matches(decoded: DecodedDocument) -> Iterator[DocumentFinding]:
    """Find routes that no call can match; of equal prefixes the first one matches."""
    names = decoded.names
    first: dict[tuple[str, str], str] = {}
    for item in decoded.routes:
        host, prefix = item.route.host, item.route.prefix
        shadow = first.setdefault((host, prefix), item.place)
        place = f"{item.place}.{names.prefix}"
        if shadow != item.place:
            message = f"never matches: {shadow} has the same host and prefix"
            yield _warning(place, message)
        if "?" in prefix or (prefix and not prefix.startswith("/")):
            message = 'never matches: a path begins with "/" and has no "?"'
            yield _warning(place, message)
        if ":" in host:
            message = "never matches: hosts are compared without their port"
            yield _warning(f"{item.place}.{names.host}", message)


def _check_services(decoded: DecodedDocument) -> Iterator[DocumentFinding]:
    routed = {part.service for item in decoded.routes for part in item.route.services}
    first: dict[str, str] = {}
    for service in decoded.services:
        if service.is_store:
            continue
        if first.setdefault(service.name, service.place) != service.place:
            message = f"replaces {first[service.name]}, which has the same name"
            yield _error(service.place, message)
        elif service.name not in routed:
            yield _warning(service.place, "no route leads to this service")
    for item in decoded.routes:
        parts = zip(item.route.services, item.service_places, strict=True)
        for part, place in parts:
            if part.service not in first:
                yield _error(place, "no service has this name")


def _check_weights(decoded: DecodedDocument) -> Iterator[DocumentFinding]:
    for item in decoded.routes:
        weights = [part.weight for part in item.route.services]
        is_unweighted = not any(weights)
        for weight, place in zip(weights, item.weight_places, strict=True):
            if weight < 0:
                yield _error(place, "must not be negative")
            elif not weight and not is_unweighted:
                yield _warning(place, "weight 0: the service gets no call of the route")
        if is_unweighted:
            message = "all weights are 0: the last service gets all calls"
            yield _warning(item.weight_places[-1], message)


def _check_customers(decoded: DecodedDocument) -> Iterator[DocumentFinding]:
    """Find keys without effect; they are named by their position only."""
    holders: dict[str, tuple[str, str]] = {}
    for customer in decoded.customers:
        if not customer.keys:
            yield _warning(
                customer.keys_place, "no call matches a customer without keys"
            )
        for index, key in enumerate(customer.keys):
            place = f"{customer.keys_place}[{index}]"
            if not key:
                yield _warning(place, "an empty key matches no call")
                continue
            holder, other = holders.setdefault(key, (customer.place, place))
            if holder != customer.place:
                message = (
                    f"the same key as {other}; its calls count for the last holder"
                )
                yield _error(place, message)
            elif other != place:
                yield _warning(place, f"the same key as {other}")


def _check_routes(decoded: DecodedDocument) -> Iterator[DocumentFinding]:
    names = decoded.names
    first: dict[str, str] = {}
    for item in decoded.routes:
        yield from _check_route_limits(item, decoded)
        route = item.route
        if first.setdefault(route.name, item.place) != item.place:
            message = f"has the name of {first[route.name]}; their metrics are mixed"
            yield _warning(item.place, message)
        if route.is_resumable and route.kind is not CallKind.STREAM:
            place = f"{item.place}.{names.is_resumable}"
            yield _warning(place, "has no effect on calls that are no streams")
        if route.max_targets > 1 and not route.may_repeat:
            place = f"{item.place}.{names.max_targets}"
            yield _warning(place, "above 1, but a call of this route runs only once")


def _check_route_limits(
    item: RouteEntry, decoded: DecodedDocument
) -> Iterator[DocumentFinding]:
    timeout, goal = item.route.timeout, item.route.latency_goal
    timeout_place = f"{item.place}.{decoded.names.timeout}"
    goal_place = f"{item.place}.{decoded.names.latency_goal}"
    if timeout < 0:
        yield _error(timeout_place, "must not be negative")
    elif goal > (timeout or DEFAULT_TIMEOUT_SECONDS):
        yield _warning(goal_place, f"longer than the time-out, {timeout_place}")
    if goal < 0:
        yield _error(goal_place, "must not be negative")


def _check_limits(
    decoded: DecodedDocument, memory_bytes: int
) -> Iterator[DocumentFinding]:
    limits, names = decoded.document.limits, decoded.names
    places = {
        field: f"{decoded.limits_place}.{getattr(names, field)}"
        for field in ("head_bytes", "body_bytes", "request_seconds", "idle_seconds")
    }
    for field, place in places.items():
        if getattr(limits, field) < 0:
            yield _error(place, "must not be negative")
    if limits.request_seconds > limits.idle_seconds:
        message = f"longer than {places['idle_seconds']}"
        yield _warning(places["request_seconds"], message)
    if 0 < memory_bytes < limits.body_bytes:
        message = f"larger than the memory of a VM, {memory_bytes} bytes"
        yield _error(places["body_bytes"], message)
