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


def test_the_longest_prefix_wins() -> None:
    found = document(route("short"), route("long", prefix="/a/b/"))
    assert find_route(found, "h.example", "/a/b/c").name == "long"
    assert find_route(found, "h.example", "/a/bc").name == "short"


def test_no_prefix_and_no_host_match() -> None:
    with pytest.raises(UnknownServiceError):
        find_route(document(route()), "h.example", "/ab")
    with pytest.raises(UnknownServiceError):
        find_route(document(route()), "other.example", "/a/b")


def test_a_public_route_takes_any_key() -> None:
    found = document(route(is_public=True))
    assert find_customer(found, found.routes[0], "other").name == ""
    assert find_customer(found, found.routes[0], KEY).name == "a"


def test_a_document_without_customers_needs_no_key() -> None:
    found = document(route(), customers_by_key=None)
    assert find_customer(found, found.routes[0], "").name == ""


def test_an_unknown_key_is_refused() -> None:
    found = document(route())
    with pytest.raises(UnauthorizedError):
        find_customer(found, found.routes[0], "other")


def test_services_get_their_share() -> None:
    services = (
        WeightedService(service="a", weight=90),
        WeightedService(service="b", weight=10),
    )
    found = route(services=services)
    assert pick_service(found, 0.0) == "a"
    assert pick_service(found, 0.89) == "a"
    assert pick_service(found, 0.91) == "b"
    assert pick_service(found, 1.0) == "b"


def test_the_customers_urgency_goes_before_the_routes() -> None:
    assert effective_priority(route(priority=2), Customer(name="a")) == 2
    assert effective_priority(route(priority=2), Customer(name="a", priority=0)) == 0
