"""Pure planner of rollouts: which engine is taken next, and what it is told."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.document.models import DocumentInForce, ServiceKind
from gypsumsail.orders.const import LOADS_AT_ONCE
from gypsumsail.orders.models import NewestOrdered, ObservedEngine, Turn, TurnBook
from gypsumsail.orders.wanted import is_loading, is_serving, is_wanted, wanted_models
from gypsumsail.targets.port import EngineRole, LoadedModel


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedOrder:
    """Wanted end state of one engine, without a fencing number yet."""

    target: str
    service: str
    document_version: int
    role: EngineRole
    models: tuple[LoadedModel, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderPlan:
    """What an issuer does next.

    Attributes
    ----------
    book
        Book of turns to be written before any order is sent.
    orders
        Orders to engines of the issuer's zone that have a turn in ``book``.
    done
        Targets of the zone whose turn has ended as wanted.
    """

    book: TurnBook
    orders: tuple[PlannedOrder, ...]
    done: tuple[str, ...]


def allowed_out(total: int, unavailable_share: float) -> int:
    """Return how many of a service's engines may be out at once.

    One at least, so that a rollout gets on; and never the last, unless the
    service has no other engine.
    """
    share = max(1, int(total * unavailable_share))
    return max(1, min(share, total - 1))


def plan_orders(
    documents: Sequence[DocumentInForce],
    engines: Sequence[ObservedEngine],
    book: TurnBook,
    zone: str,
) -> OrderPlan:
    """Plan the next step of all rollouts as the issuer of one zone.

    Parameters
    ----------
    engines
        Engines of all zones that are not leaving.
    book
        Turns of all zones as just read.
    """
    newest = {item.service: item.document_version for item in book.newest}
    services = {document.document.service for document in documents}
    staying = {engine.target for engine in engines if engine.service in services}
    turns = [turn for turn in book.turns if turn.zone != zone or turn.target in staying]
    orders: list[PlannedOrder] = []
    done: list[str] = []
    for document in sorted(documents, key=lambda item: item.document.service):
        service = document.document.service
        if document.document.kind is not ServiceKind.MODEL:
            continue
        if document.version < newest.get(service, 0):
            continue
        members = [engine for engine in engines if engine.service == service]
        rollout = _ServiceRollout(document, members, zone, turns)
        turns = rollout.turns
        orders.extend(rollout.orders)
        done.extend(rollout.done)
        if rollout.orders:
            newest[service] = document.version
    return OrderPlan(
        book=TurnBook(
            turns=tuple(turns),
            newest=tuple(
                NewestOrdered(service=service, document_version=version)
                for service, version in sorted(newest.items())
            ),
        ),
        orders=tuple(orders),
        done=tuple(done),
    )


class _ServiceRollout:
    """One service's step, built up engine by engine."""

    def __init__(
        self,
        document: DocumentInForce,
        members: Sequence[ObservedEngine],
        zone: str,
        turns: list[Turn],
    ) -> None:
        self.document = document
        self.members = sorted(members, key=lambda engine: engine.target)
        self.zone = zone
        self.models = wanted_models(document.document)
        self.allowed = allowed_out(len(members), document.document.unavailable_share)
        self.turns = turns
        self.orders: list[PlannedOrder] = []
        self.done: list[str] = []
        for engine in self.members:
            if engine.zone == zone:
                self._step(engine)

    def _step(self, engine: ObservedEngine) -> None:
        if engine.state is None:
            return
        has_turn = any(turn.target == engine.target for turn in self.turns)
        if is_wanted(engine.state, self.models):
            if has_turn:
                self._end_turn(engine)
            return
        if not has_turn and not self._may_take(engine):
            return
        self._take_turn(engine)
        if is_loading(engine.state, self.models):
            return
        self.orders.append(
            PlannedOrder(
                target=engine.target,
                service=engine.service,
                document_version=self.document.version,
                role=EngineRole.SERVE,
                models=self.models,
            )
        )

    def _may_take(self, engine: ObservedEngine) -> bool:
        if len(self.turns) >= LOADS_AT_ONCE:
            return False
        if not is_serving(engine.state):
            return True
        return len(self._out()) < self.allowed

    def _out(self) -> set[str]:
        """Return the engines that don't serve, or will not in a moment."""
        turns = {turn.target for turn in self.turns}
        return {
            member.target
            for member in self.members
            if member.target in turns or not is_serving(member.state)
        }

    def _take_turn(self, engine: ObservedEngine) -> None:
        turn = Turn(
            target=engine.target,
            service=engine.service,
            zone=self.zone,
            document_version=self.document.version,
        )
        rest = [item for item in self.turns if item.target != engine.target]
        self.turns = [*rest, turn]

    def _end_turn(self, engine: ObservedEngine) -> None:
        self.turns = [item for item in self.turns if item.target != engine.target]
        self.done.append(engine.target)
