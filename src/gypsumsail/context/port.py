"""Ports through which kept context reaches engines and stores."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from gypsumsail.stores.port import Store
from gypsumsail.targets.port import Engine


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineLink:
    """An engine that is believed alive.

    Attributes
    ----------
    target
        Name by which routing knows the engine.
    """

    target: str
    service: str
    zone: str
    engine: Engine


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLink:
    """A store VM that is believed alive."""

    store_url: str
    service: str
    zone: str
    store: Store


class TargetSource(Protocol):
    """Engines and stores as membership knows them."""

    def engines(self) -> Sequence[EngineLink]:
        """Return the engines that are not leaving."""

    def stores(self) -> Sequence[StoreLink]:
        """Return the stores that are not leaving."""
