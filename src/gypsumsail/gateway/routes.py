"""Lookup of the route, the customer and the service of a call."""

from __future__ import annotations

from gypsumsail.core.errors import UnauthorizedError, UnknownServiceError
from gypsumsail.gateway.models import Customer, Route, RoutingDocument

NO_CUSTOMER = Customer(name="")


def find_route(document: RoutingDocument, host: str, path: str) -> Route:
    """Return the route of the host with the longest matching path prefix.

    Raises
    ------
    UnknownServiceError
        No route matches the host and path.
    """
    for route in document.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    raise UnknownServiceError("no route matches the host and path")


def find_customer(document: RoutingDocument, route: Route, api_key: str) -> Customer:
    """Return the customer to whom an API key belongs.

    Raises
    ------
    UnauthorizedError
        The route is not public, and the key is missing or unknown.
    """
    keys = document.customers_by_key
    if keys is None:
        return NO_CUSTOMER
    customer = keys.get(api_key) if api_key else None
    if customer is not None:
        return customer
    if route.is_public:
        return NO_CUSTOMER
    raise UnauthorizedError("the API key is missing or unknown")


def pick_service(route: Route, random_value: float) -> str:
    """Return a service of the route, chosen at random by weight.

    Parameters
    ----------
    random_value
        Uniform random number from 0 to 1.
    """
    total = sum(item.weight for item in route.services)
    left = random_value * total
    for item in route.services:
        left -= item.weight
        if left < 0:
            return item.service
    return route.services[-1].service


def effective_priority(route: Route, customer: Customer) -> int:
    """Return the priority of a call; the customer's overrides the route's."""
    return route.priority if customer.priority is None else customer.priority
