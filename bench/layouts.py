"""Layouts of deployments: zones, entries, engines, stores and documents.

The two layouts differ in their zones, services, customers and cost weights:
``KERLANN`` serves claims, a portal and letters, ``ASSOCIATION`` an advisor, a members'
portal and certificates.
"""

from __future__ import annotations

from dataclasses import dataclass
import hashlib
import json
from typing import Any, Final

WEIGHT_VERSION: Final = "v1"
MODEL_PATH: Final = "/v1/completions"


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerLayout:
    """A customer of a deployment; its number of calls is proportional to its share."""

    name: str
    share: int

    @property
    def api_key(self) -> str:
        """Return the API key that the customer's callers send."""
        return f"bench-key-of-{self.name}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelServiceLayout:
    """A model with its engines and its store.

    Attributes
    ----------
    engine_zones
        Zone of each engine.
    cache_tokens
        Capacity of each engine's prefix cache.
    link_bytes_per_second
        Bandwidth of the store's memory tier; that of the disk tier is a quarter.
    step_seconds
        Fixed duration of an engine's step.
    """

    service: str
    model: str
    engine_zones: tuple[str, ...]
    store_zone: str
    cache_tokens: int
    link_bytes_per_second: float
    step_seconds: float = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainServiceLayout:
    """A plain service; its calls must not be repeated."""

    service: str
    path: str
    zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """One deployment.

    Attributes
    ----------
    entry_zones
        Zone of each entry.
    long_service, short_service
        Service with long prompts that callers send again, and service with short
        prompts.
    cost_weights
        Weights of the first-token time, of recomputation and of link use in the
        routing cost, as the service documents set them.
    """

    name: str
    region: str
    entry_zones: tuple[str, ...]
    long_service: ModelServiceLayout
    short_service: ModelServiceLayout
    plain_service: PlainServiceLayout
    customers: tuple[CustomerLayout, ...]
    cost_weights: tuple[float, float, float]

    @property
    def model_services(self) -> tuple[ModelServiceLayout, ...]:
        """Return both model services."""
        return self.long_service, self.short_service


def _zones(names: tuple[str, ...], count: int) -> tuple[str, ...]:
    return tuple(names[index % len(names)] for index in range(count))


def _customers(names: tuple[str, ...]) -> tuple[CustomerLayout, ...]:
    shares = (10, 8, 6, 2, 2, 1, 1, 1, 1, 1)
    return tuple(
        CustomerLayout(name=name, share=share)
        for name, share in zip(names, shares, strict=True)
    )


_BZH_ZONES: Final = ("brest-hall", "rennes-hall", "lorient-hall")
_NAIROBI_ZONES: Final = ("westlands", "embakasi", "karen", "ruaraka")

KERLANN: Final = Layout(
    name="kerlann",
    region="bzh-west",
    entry_zones=_zones(_BZH_ZONES, 7),
    long_service=ModelServiceLayout(
        service="claims",
        model="claims",
        engine_zones=_zones(_BZH_ZONES, 5),
        store_zone="rennes-hall",
        cache_tokens=12_000,
        link_bytes_per_second=60e6,
    ),
    short_service=ModelServiceLayout(
        service="portal",
        model="portal",
        engine_zones=_zones(_BZH_ZONES, 3),
        store_zone="brest-hall",
        cache_tokens=6_000,
        link_bytes_per_second=30e6,
    ),
    plain_service=PlainServiceLayout(
        service="letters", path="/letters", zone="lorient-hall"
    ),
    customers=_customers(
        (
            "armor-vols",
            "celte-recours",
            "ponant-claims",
            "iroise",
            "glazik",
            "odet",
            "aulne",
            "blavet",
            "rance",
            "trieux",
        )
    ),
    cost_weights=(0.45, 0.4, 0.15),
)

ASSOCIATION: Final = Layout(
    name="association",
    region="nairobi",
    entry_zones=_zones(_NAIROBI_ZONES, 7),
    long_service=ModelServiceLayout(
        service="advisor",
        model="kit-advisor",
        engine_zones=_zones(_NAIROBI_ZONES, 9),
        store_zone="karen",
        cache_tokens=8_000,
        link_bytes_per_second=50e6,
    ),
    short_service=ModelServiceLayout(
        service="members",
        model="member-portal",
        engine_zones=_zones(_NAIROBI_ZONES, 4),
        store_zone="embakasi",
        cache_tokens=6_000,
        link_bytes_per_second=25e6,
    ),
    plain_service=PlainServiceLayout(
        service="certificates", path="/certificates", zone="ruaraka"
    ),
    customers=_customers(
        (
            "thika-frames",
            "mombasa-kits",
            "eldoret-timber",
            "kisumu-panels",
            "nakuru-studs",
            "nyeri",
            "meru",
            "kitale",
            "embu",
            "lamu",
        )
    ),
    cost_weights=(0.5, 0.15, 0.35),
)

LAYOUTS: Final = {layout.name: layout for layout in (KERLANN, ASSOCIATION)}


def documents(layout: Layout) -> dict[str, str]:
    """Return each service's document as JSON, which is valid YAML."""
    found = [_model_document(layout, service) for service in layout.model_services]
    found.append(_plain_document(layout))
    return {document["service"]: json.dumps(document) for document in found}


def _common(layout: Layout, service: str, kind: str) -> dict[str, Any]:
    customers = [
        {
            "name": customer.name,
            "key_digests": [hashlib.sha256(customer.api_key.encode()).hexdigest()],
            "share": customer.share,
            "max_priority": 1,
        }
        for customer in layout.customers
    ]
    return {
        "service": service,
        "kind": kind,
        "owner": f"{layout.name}-team",
        "customers": customers,
        "deadlines": {"default": 30, "longest": 120},
    }


def _model_document(layout: Layout, service: ModelServiceLayout) -> dict[str, Any]:
    first_token, recomputed, link_use = layout.cost_weights
    is_short = service is layout.short_service
    return _common(layout, service.service, "model") | {
        "default_priority": 2 if is_short else 5,
        "models": [{"name": service.model, "weight_version": WEIGHT_VERSION}],
        "routes": [{"path": MODEL_PATH, "repeatable": True}],
        "tiers": {
            "weights": {
                "first_token": first_token,
                "recomputed": recomputed,
                "link_use": link_use,
            },
            "link_bytes_per_second": service.link_bytes_per_second,
        },
    }


def _plain_document(layout: Layout) -> dict[str, Any]:
    plain = layout.plain_service
    return _common(layout, plain.service, "plain") | {
        "routes": [{"path": plain.path, "repeatable": False}],
    }
