"""Conversion of validated documents into the internal data classes."""

from __future__ import annotations

from typing import Final

from gypsumsail.document import schema
from gypsumsail.document.models import (
    Adapter,
    Customer,
    Deadlines,
    Model,
    Route,
    ServiceDocument,
    ServiceKind,
    TierPolicy,
    TierWeights,
)

# For plain services: no KV cache is stored, so only the time to the first token counts.
_POLICY_WITHOUT_TIERS: Final = TierPolicy(
    weights=TierWeights(first_token=1.0, recomputed=0.0, link_use=0.0),
    link_bytes_per_second=0.0,
)


def convert_document(document: schema.DocumentBorder) -> ServiceDocument:
    """Return the validated document as data classes."""
    return ServiceDocument(
        service=document.service,
        kind=ServiceKind(document.kind),
        owner=document.owner,
        models=tuple(_convert_model(model) for model in document.models),
        customers=tuple(_convert_customer(customer) for customer in document.customers),
        routes=tuple(
            Route(path=route.path, repeatable=route.repeatable)
            for route in document.routes
        ),
        deadlines=Deadlines(
            default=document.deadlines.default, longest=document.deadlines.longest
        ),
        tiers=_convert_tiers(document.tiers),
        default_priority=document.default_priority,
        fencing_targets=document.fencing_targets,
        unavailable_share=document.unavailable_share,
    )


def _convert_model(model: schema.ModelBorder) -> Model:
    return Model(
        name=model.name,
        weight_version=model.weight_version,
        adapters=tuple(
            Adapter(name=adapter.name, version=adapter.version)
            for adapter in model.adapters
        ),
    )


def _convert_customer(customer: schema.CustomerBorder) -> Customer:
    return Customer(
        name=customer.name,
        key_digests=tuple(customer.key_digests),
        share=customer.share,
        tokens_per_second=customer.tokens_per_second,
        max_priority=customer.max_priority,
    )


def _convert_tiers(tiers: schema.TiersBorder | None) -> TierPolicy:
    if tiers is None:
        return _POLICY_WITHOUT_TIERS
    return TierPolicy(
        weights=TierWeights(
            first_token=tiers.weights.first_token,
            recomputed=tiers.weights.recomputed,
            link_use=tiers.weights.link_use,
        ),
        link_bytes_per_second=tiers.link_bytes_per_second,
    )
