"""Decides which service, route and customer a call belongs to."""

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
from gypsumsail.entry.models import Placement


@dataclass(frozen=True, slots=True, kw_only=True)
class _Membership:
    document: DocumentInForce
    customer: Customer


class KeyRing:
    """API keys of all documents in force."""

    def __init__(self, documents: Iterable[DocumentInForce]) -> None:
        self.memberships: dict[str, list[_Membership]] = {}
        for document in documents:
            for customer in document.document.customers:
                membership = _Membership(document=document, customer=customer)
                for digest in customer.key_digests:
                    self.memberships.setdefault(digest, []).append(membership)

    def placements(self, api_key: str, path: str) -> list[Placement]:
        """Return where the key may go under the path.

        Raises
        ------
        UnauthorizedError
            No document knows the key.
        UnknownServiceError
            The key's customer has no service at the path.
        """
        digest = sha256(api_key.encode()).hexdigest()
        memberships = self.memberships.get(digest)
        if not api_key or not memberships:
            raise UnauthorizedError("the API key is unknown")
        found = [
            Placement(
                document=membership.document,
                route=route,
                customer=membership.customer,
            )
            for membership in memberships
            if (route := _match(membership.document, path)) is not None
        ]
        if not found:
            raise UnknownServiceError("no service of this customer has the path")
        return found


def _match(document: DocumentInForce, path: str) -> Route | None:
    fitting = [
        route
        for route in document.document.routes
        if path == route.path or path.startswith(route.path.rstrip("/") + "/")
    ]
    return max(fitting, key=lambda route: len(route.path), default=None)


def plain_placement(placements: list[Placement]) -> Placement | None:
    """Return the plain service among the placements, longest path first."""
    plain = [
        placement
        for placement in placements
        if placement.document.document.kind is ServiceKind.PLAIN
    ]
    return max(plain, key=lambda found: len(found.route.path), default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelPlacement:
    """A placement together with the model that the call names."""

    placement: Placement
    model: Model
    adapter: str


def model_placement(
    placements: list[Placement], model_name: str, adapter: str
) -> ModelPlacement:
    """Return the model service among the placements that has the model.

    Raises
    ------
    UnknownServiceError
        No service of the customer has the model or the adapter.
    """
    for placement in placements:
        for model in placement.document.document.models:
            identities = {known.name: known.identity for known in model.adapters}
            if model.name != model_name or (adapter and adapter not in identities):
                continue
            return ModelPlacement(
                placement=placement, model=model, adapter=identities.get(adapter, "")
            )
    raise UnknownServiceError("no service of this customer has the model and adapter")
