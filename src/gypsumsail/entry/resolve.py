"""Resolves the service, route and customer of a call."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import sha256

from gypsumsail.core.errors import UnauthorizedError, UnknownServiceError
from gypsumsail.document.models import (
    Customer,
    DocumentInForce,
    Model,
    Route,
    ServiceKind,
)
from gypsumsail.entry.models import RouteMatch


@dataclass(frozen=True, slots=True, kw_only=True)
class _KeyOwner:
    document: DocumentInForce
    customer: Customer


class ApiKeyIndex:
    """Index of the API keys in all documents in force."""

    def __init__(self, documents: Iterable[DocumentInForce]) -> None:
        self.owners: dict[str, list[_KeyOwner]] = {}
        for document in documents:
            for customer in document.document.customers:
                owner = _KeyOwner(document=document, customer=customer)
                for digest in customer.key_digests:
                    self.owners.setdefault(digest, []).append(owner)

    def route_matches(self, api_key: str, path: str) -> list[RouteMatch]:
        """Return the routes that the path matches for the owners of the key.

        Raises
        ------
        UnauthorizedError
            The key is in no document.
        UnknownServiceError
            The customer of the key has no service with a route for the path.
        """
        digest = sha256(api_key.encode()).hexdigest()
        owners = self.owners.get(digest)
        if not api_key or not owners:
            raise UnauthorizedError("the API key is unknown")
        found = [
            RouteMatch(
                document=owner.document,
                route=route,
                customer=owner.customer,
            )
            for owner in owners
            if (route := _match(owner.document, path)) is not None
        ]
        if not found:
            raise UnknownServiceError(
                "no service of this customer has a route for the path"
            )
        return found


def _match(document: DocumentInForce, path: str) -> Route | None:
    matching = [
        route
        for route in document.document.routes
        if path == route.path or path.startswith(route.path.rstrip("/") + "/")
    ]
    return max(matching, key=lambda route: len(route.path), default=None)


def match_plain_service(route_matches: list[RouteMatch]) -> RouteMatch | None:
    """Return the match of a plain service with the longest path, if there is one."""
    plain = [
        route_match
        for route_match in route_matches
        if route_match.document.document.kind is ServiceKind.PLAIN
    ]
    return max(plain, key=lambda found: len(found.route.path), default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelMatch:
    """A matched route together with the model that the call names."""

    route_match: RouteMatch
    model: Model
    adapter: str


def match_model(
    route_matches: list[RouteMatch], model_name: str, adapter: str
) -> ModelMatch:
    """Return the first match whose service has the model and the adapter.

    Raises
    ------
    UnknownServiceError
        No service of the customer has the model or the adapter.
    """
    for route_match in route_matches:
        for model in route_match.document.document.models:
            identities = {known.name: known.identity for known in model.adapters}
            if model.name != model_name or (adapter and adapter not in identities):
                continue
            return ModelMatch(
                route_match=route_match,
                model=model,
                adapter=identities.get(adapter, ""),
            )
    raise UnknownServiceError("no service of this customer has the model and adapter")
