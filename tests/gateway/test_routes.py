"""Tests of routes and customers."""

from __future__ import annotations

import pytest

from gypsumsail.core.errors import UnauthorizedError, UnknownServiceError
from gypsumsail.gateway.models import Customer, WeightedService
from gypsumsail.gateway.routes import (
    effective_priority,
    find_customer,
    find_route,
    pick_service,
)
from tests.gateway.common import KEY, document, route


def test_longest_prefix_wins() -> None:
    routing = document(route("short"), route("long", prefix="/a/b/"))
    assert find_route(routing, "h.example", "/a/b/c").name == "long"
    assert find_route(routing, "h.example", "/a/bc").name == "short"


def test_unknown_prefix_or_host_matches_no_route() -> None:
    with pytest.raises(UnknownServiceError):
        find_route(document(route()), "h.example", "/ab")
    with pytest.raises(UnknownServiceError):
        find_route(document(route()), "other.example", "/a/b")


def test_public_route_accepts_any_key() -> None:
    routing = document(route(is_public=True))
    assert find_customer(routing, routing.routes[0], "other").name == ""
    assert find_customer(routing, routing.routes[0], KEY).name == "a"


def test_document_without_customers_needs_no_key() -> None:
    routing = document(route(), customers_by_key=None)
    assert find_customer(routing, routing.routes[0], "").name == ""


def test_unknown_key_is_refused() -> None:
    routing = document(route())
    with pytest.raises(UnauthorizedError):
        find_customer(routing, routing.routes[0], "other")


def test_services_are_picked_by_weight() -> None:
    services = (
        WeightedService(service="a", weight=90),
        WeightedService(service="b", weight=10),
    )
    routing = route(services=services)
    assert pick_service(routing, 0.0) == "a"
    assert pick_service(routing, 0.89) == "a"
    assert pick_service(routing, 0.91) == "b"
    assert pick_service(routing, 1.0) == "b"


def test_customer_priority_overrides_route_priority() -> None:
    assert effective_priority(route(priority=2), Customer(name="a")) == 2
    assert effective_priority(route(priority=2), Customer(name="a", priority=0)) == 0
