"""Port to engines for orders and reports."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.notices import AnswerNotices
from gypsumsail.gateway.port import ConnectionUse


class OrderAnswer(Enum):
    """Response of an engine to an order.

    Attributes
    ----------
    TAKEN
        The engine has accepted the order and loads the weights.
    ALREADY_SO
        The engine has the ordered weights already.
    BUSY
        The engine is busy, or `LoadWeights.orders_taken` is not its current count.
    WRONG_LIFE
        The order has reached another instance than the engine for which it is meant.
    REFUSED
        Any other response.
    """

    TAKEN = auto()
    ALREADY_SO = auto()
    BUSY = auto()
    WRONG_LIFE = auto()
    REFUSED = auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadWeights:
    """An order to load a version of a model's weights.

    Attributes
    ----------
    holder, fence
        Holder of the rollout lease and its fencing token.
    orders_taken
        Number of orders that the engine had accepted at its last report. The engine
        rejects the order if its count has changed, so that a delayed or repeated order
        has no effect.
    not_after
        Monotonic time from which the order may no longer be written.
    """

    model: str
    version: int
    holder: str
    fence: int
    orders_taken: int
    not_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """State that an engine reports.

    Attributes
    ----------
    life
        Start of the engine in Unix milliseconds, which changes with each restart; 0 if
        the engine doesn't report it.
    is_busy
        Whether the engine is loading weights.
    orders_taken
        Number of orders that the engine has accepted.
    weight_versions
        Loaded version by model.
    """

    life: int
    is_busy: bool
    orders_taken: int
    weight_versions: Mapping[str, int]


class EngineOrders(Protocol):
    """Orders to engines and their reports; both raise ``TransportError``.

    Attributes
    ----------
    on_notices
        Called with an engine, the notices of an answer and the time of the call.
    on_order_written
        Called with an engine and the connection to which an order has been written.
    """

    on_notices: Callable[[TargetEntry, AnswerNotices, float], None]
    on_order_written: Callable[[TargetEntry, ConnectionUse], None]

    async def async_order(self, target: TargetEntry, order: LoadWeights) -> OrderAnswer:
        """Send an order."""

    async def async_report(self, target: TargetEntry) -> EngineReport:
        """Request a report."""
