"""Finds the route and the customer of a call."""

from __future__ import annotations

from gypsumsail.core.errors import UnauthorizedError, UnknownServiceError
from gypsumsail.gateway.models import Customer, Route, RoutingDocument

NO_CUSTOMER = Customer(name="")


def find_route(document: RoutingDocument, host: str, path: str) -> Route:
    """Return the route with the longest prefix of the path.

    Raises
    ------
    UnknownServiceError
        No route of the host matches.
    """
    for route in document.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    raise UnknownServiceError("no route matches the host and path")


def find_customer(document: RoutingDocument, route: Route, api_key: str) -> Customer:
    """Return whose call it is.

    Raises
    ------
    UnauthorizedError
        The route needs a key and the call's key is unknown.
    """
    keys = document.customers_by_key
    if keys is None:
        return NO_CUSTOMER
    customer = keys.get(api_key) if api_key else None
    if customer is not None:
        return customer
    if route.is_public:
        return NO_CUSTOMER
    raise UnauthorizedError("the key is unknown")


def pick_service(route: Route, draw: float) -> str:
    """Return the service of a call by weight.

    Parameters
    ----------
    draw
        Evenly drawn from 0 to 1.
    """
    total = sum(item.weight for item in route.services)
    left = draw * total
    for item in route.services:
        left -= item.weight
        if left < 0:
            return item.service
    return route.services[-1].service


def effective_priority(route: Route, customer: Customer) -> int:
    """Return the rank of a call; the customer's goes before the route's."""
    return route.priority if customer.priority is None else customer.priority
