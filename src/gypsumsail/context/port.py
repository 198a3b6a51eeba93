"""Ports to the engines and stores that cache prompts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from gypsumsail.stores.port import Store
from gypsumsail.targets.port import EngineClient


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineHandle:
    """Engine that is not being removed, with its service and zone.

    Attributes
    ----------
    target
        Name of the engine in routing.
    """

    target: str
    service: str
    zone: str
    engine: EngineClient


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreHandle:
    """Store VM that is not being removed, with its service and zone."""

    store_url: str
    service: str
    zone: str
    store: Store


class TargetSource(Protocol):
    """Source of the engines and stores that are not being removed."""

    def engines(self) -> Sequence[EngineHandle]:
        """Return the current engines."""

    def stores(self) -> Sequence[StoreHandle]:
        """Return the current stores."""
