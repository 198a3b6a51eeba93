"""Builders of test data that several domains use."""

from __future__ import annotations

from hashlib import sha256

from gypsumsail.document.models import (
    Adapter,
    Customer,
    Deadlines,
    DocumentInForce,
    Model,
    Route,
    ServiceDocument,
    ServiceKind,
    TierPolicy,
    TierWeights,
)
from gypsumsail.timeline.models import Event


class ManualClock:
    """A clock that tests set."""

    def __init__(self, now: float = 1_000.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def wall(self) -> float:
        """Return the set time."""
        return self.now


class EventLog:
    """A recorder that keeps events in order."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def record(self, event: Event) -> None:
        """Keep the event."""
        self.events.append(event)


def make_customer(name: str = "bretagne-vols", key: str = "key-1") -> Customer:
    """Return a customer whose API key is ``key``."""
    digest = sha256(key.encode()).hexdigest()
    return Customer(name=name, key_digests=(digest,), share=1.0, max_priority=3)


def make_document(
    service: str = "claims",
    *,
    kind: ServiceKind = ServiceKind.MODEL,
    routes: tuple[Route, ...] = (Route(path="/v1/completions", repeatable=True),),
    customers: tuple[Customer, ...] | None = None,
    version: int = 1,
) -> DocumentInForce:
    """Return a document in force with one model."""
    model = Model(
        name="dossier",
        weight_version="w1",
        adapters=(Adapter(name="letters", version="a1"),),
    )
    document = ServiceDocument(
        service=service,
        kind=kind,
        owner="claims-team",
        models=(model,) if kind is ServiceKind.MODEL else (),
        customers=customers or (make_customer(),),
        routes=routes,
        deadlines=Deadlines(default=30.0, longest=120.0),
        tiers=TierPolicy(
            weights=TierWeights(first_token=0.5, recomputed=0.4, link_use=0.1),
            link_bytes_per_second=50_000_000.0,
        ),
    )
    return DocumentInForce(document=document, version=version, text="")
