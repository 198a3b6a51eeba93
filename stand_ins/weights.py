"""Role and loaded models of an engine, and the orders that change them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadedModel:
    """A model with its weight version and adapters."""

    model: str
    weight_version: str
    adapters: tuple[str, ...]

    def as_json(self) -> dict[str, Any]:
        """Return the model in the format of the engine's API."""
        return {
            "model": self.model,
            "weight_version": self.weight_version,
            "adapters": list(self.adapters),
        }


class OldFenceError(Exception):
    """An order has a lower fencing token than an earlier one."""


class Weights:
    """Role and models of an engine.

    Attributes
    ----------
    models
        Loaded models by name.
    checks_fence
        Whether orders with an outdated fencing token are rejected.
    fetch
        Coroutine function that loads one version from the weight store.
    loading
        Models that are still to be loaded.
    orders
        Number of accepted orders.
    """

    def __init__(
        self,
        *,
        role: str,
        models: list[LoadedModel],
        checks_fence: bool,
        fetch: Callable[[LoadedModel], Awaitable[None]],
    ) -> None:
        self.role = role
        self.models = {model.model: model for model in models}
        self.checks_fence = checks_fence
        self.fetch = fetch
        self.highest_fence = 0
        self.loading: list[LoadedModel] = []
        self.orders = 0
        self.task: asyncio.Task[None] | None = None

    def apply(self, order: dict[str, Any]) -> None:
        """Start to apply an order; it replaces any order still in progress.

        Raises
        ------
        OldFenceError
            The fencing token of the order is outdated.
        """
        fence = int(order["fence"])
        if self.checks_fence and fence < self.highest_fence:
            raise OldFenceError
        if self.checks_fence:
            self.highest_fence = fence
        self.orders += 1
        wanted = [
            LoadedModel(
                model=model["model"],
                weight_version=model["weight_version"],
                adapters=tuple(model["adapters"]),
            )
            for model in order["models"]
        ]
        if self.task is not None:
            self.task.cancel()
        self.role = order["role"]
        self.loading = [m for m in wanted if self.models.get(m.model) != m]
        self.task = asyncio.create_task(self.load(wanted))

    async def load(self, wanted: list[LoadedModel]) -> None:
        """Load the missing models, then remove those that are not in the order."""
        for model in list(self.loading):
            loaded = self.models.get(model.model)
            if loaded is None or loaded.weight_version != model.weight_version:
                await self.fetch(model)
            self.models[model.model] = model
            self.loading.remove(model)
        names = {model.model for model in wanted}
        self.models = {k: m for k, m in self.models.items() if k in names}

    def as_json(self) -> dict[str, Any]:
        """Return the state in the format of the engine's API."""
        return {
            "role": self.role,
            "models": [model.as_json() for model in self.models.values()],
            "loading": [model.as_json() for model in self.loading],
            "highest_fence": self.highest_fence,
        }
