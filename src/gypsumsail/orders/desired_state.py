"""Desired state of engines according to a service document."""

from __future__ import annotations

from gypsumsail.document.models import ServiceDocument
from gypsumsail.targets.port import EngineRole, EngineState, LoadedModel


def desired_models(document: ServiceDocument) -> tuple[LoadedModel, ...]:
    """Return the models that each engine of the service must have loaded."""
    return tuple(
        LoadedModel(
            model=model.name,
            weight_version=model.weight_version,
            adapters=tuple(adapter.identity for adapter in model.adapters),
        )
        for model in document.models
    )


def matches_desired(state: EngineState, models: tuple[LoadedModel, ...]) -> bool:
    """Return whether an engine serves exactly the desired models."""
    if state.role is not EngineRole.SERVE or state.loading:
        return False
    return _normalize(state.models) == _normalize(models)


def is_loading_desired(state: EngineState, models: tuple[LoadedModel, ...]) -> bool:
    """Return whether an engine is loading, and only desired models."""
    if state.role is not EngineRole.SERVE or not state.loading:
        return False
    return _normalize(state.loading) <= _normalize(models)


def is_serving(state: EngineState | None) -> bool:
    """Return whether an engine serves requests, with models of any version."""
    if state is None or state.role is not EngineRole.SERVE:
        return False
    return bool(state.models) and not state.loading


def _normalize(models: tuple[LoadedModel, ...]) -> set[tuple[str, str, frozenset[str]]]:
    return {
        (model.model, model.weight_version, frozenset(model.adapters))
        for model in models
    }
