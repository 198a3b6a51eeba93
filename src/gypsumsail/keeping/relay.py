"""What a VM that follows a store tells the near VMs, and its whole view as CBOR."""

from __future__ import annotations

from dataclasses import dataclass, field

import cbor2

from gypsumsail.core import cbor
from gypsumsail.gossip.messages import StoreUpdate
from gypsumsail.keeping.const import CHANGES_IN_A_NEWS
from gypsumsail.keeping.store_view import (
    RelayedChanges,
    StoreAnswer,
    StoreChange,
    StoreView,
)

VIEW_PATH = "/peer/stores/"
VIEW_FIELDS = 4


@dataclass(slots=True)
class StoreTeller:
    """Numbers the news on one store that this VM tells.

    Attributes
    ----------
    number
        Number of the next news.
    """

    number: int = 1
    untold: list[StoreChange] = field(default_factory=list)

    def news(
        self, view: StoreView, changes: tuple[StoreChange, ...], now: float
    ) -> list[StoreUpdate]:
        """Return the news of an answer of the store, in pieces of bounded size."""
        pieces = [
            changes[start : start + CHANGES_IN_A_NEWS]
            for start in range(0, len(changes), CHANGES_IN_A_NEWS)
        ]
        return [self._piece(view, piece, now) for piece in pieces or [()]]

    def _piece(
        self, view: StoreView, changes: tuple[StoreChange, ...], now: float
    ) -> StoreUpdate:
        self.number += 1
        return StoreUpdate(
            store=str(view.store.address),
            sequence_number=self.number - 1,
            life=view.life or 0,
            clock_ms=view.clock_ms(now) or 0,
            changes=tuple(
                (change.scope, change.part, change.tokens) for change in changes
            ),
        )


def relayed(teller: str, news: StoreUpdate) -> RelayedChanges:
    """Return news as the view of a store takes it."""
    return RelayedChanges(
        teller=teller,
        number=news.sequence_number,
        life=news.life,
        clock_ms=news.clock_ms or None,
        changes=tuple(
            StoreChange(scope=scope, part=part, tokens=tokens)
            for scope, part, tokens in news.changes
        ),
    )


def encode_view(view: StoreView, number: int, now: float) -> bytes:
    """Encode all that a followed store holds, with the number of the next news."""
    parts = [[scope, part, tokens] for (scope, part), tokens in view.parts.items()]
    return cbor2.dumps([number, view.life or 0, view.clock_ms(now) or 0, parts])


def decode_view(data: bytes) -> StoreAnswer:
    """Decode a whole view; raise ``ValueInvalidError``."""
    number, life, clock_ms, parts = cbor.read_list(cbor.load(data), VIEW_FIELDS)
    return StoreAnswer(
        life=cbor.read_count(life),
        next_number=cbor.read_count(number),
        has_gap=False,
        changes=tuple(map(_change, cbor.read_list(parts))),
        clock_ms=cbor.read_count(clock_ms) or None,
    )


def _change(value: object) -> StoreChange:
    scope, part, tokens = cbor.read_list(value, 3)
    return StoreChange(
        scope=cbor.read_text(scope),
        part=cbor.read_text(part),
        tokens=cbor.read_count(tokens),
    )
