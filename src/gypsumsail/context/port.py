"""Ports to the engines and stores that cache prompts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from gypsumsail.stores.port import Store
from gypsumsail.targets.port import Engine


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineLink:
    """Engine that membership considers alive.

    Attributes
    ----------
    target
        Name of the engine in routing.
    """

    target: str
    service: str
    zone: str
    engine: Engine


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLink:
    """Store VM that membership considers alive."""

    store_url: str
    service: str
    zone: str
    store: Store


class TargetSource(Protocol):
    """Source of the engines and stores that membership knows."""

    def engines(self) -> Sequence[EngineLink]:
        """Return the engines that are not being removed."""

    def stores(self) -> Sequence[StoreLink]:
        """Return the stores that are not being removed."""
