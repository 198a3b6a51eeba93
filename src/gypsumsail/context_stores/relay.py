"""Updates on a polled store for other VMs, and the CBOR encoding of a whole view."""

from __future__ import annotations

from dataclasses import dataclass, field

import cbor2

from gypsumsail.context_stores.const import MAX_CHANGES_PER_UPDATE, VIEW_MAX_AGE_SECONDS
from gypsumsail.context_stores.store_view import (
    RelayedChanges,
    StoreAnswer,
    StoreChange,
    StoreView,
)
from gypsumsail.core import cbor
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gossip.messages import ContextStoreUpdate

VIEW_PATH = "/peer/stores/"
VIEW_FIELDS = 4
"""Number of fields of an encoded view."""


@dataclass(slots=True)
class StoreRelay:
    """Numbers the updates on one store that this VM sends to other VMs.

    A part is repeated once it is confirmed, so that it may be fetched.

    Attributes
    ----------
    number
        Sequence number of the next update.
    unsent
        Currently unused.
    """

    number: int = 1
    unsent: list[StoreChange] = field(default_factory=list)

    def updates(
        self, view: StoreView, changes: tuple[StoreChange, ...], now: float
    ) -> list[ContextStoreUpdate]:
        """Return the changes in a store's response as updates of bounded size."""
        pieces = [
            changes[start : start + MAX_CHANGES_PER_UPDATE]
            for start in range(0, len(changes), MAX_CHANGES_PER_UPDATE)
        ]
        return [self._update(view, piece, now) for piece in pieces or [()]]

    def _update(
        self, view: StoreView, changes: tuple[StoreChange, ...], now: float
    ) -> ContextStoreUpdate:
        self.number += 1
        return ContextStoreUpdate(
            store=str(view.store.address),
            sequence_number=self.number - 1,
            life=view.life or 0,
            clock_ms=view.clock_ms(now) or 0,
            changes=tuple(
                (change.scope, change.part, change.tokens) for change in changes
            ),
        )


def relayed_changes(relay_vm: str, update: ContextStoreUpdate) -> RelayedChanges:
    """Convert an update from another VM to changes for the view of a store."""
    return RelayedChanges(
        relay_vm=relay_vm,
        number=update.sequence_number,
        life=update.life,
        clock_ms=update.clock_ms or None,
        changes=tuple(
            StoreChange(scope=scope, part=part, tokens=tokens)
            for scope, part, tokens in update.changes
        ),
    )


def encode_view(view: StoreView, number: int, now: float) -> bytes:
    """Encode the contents of a polled store and the number of the next update."""
    parts = [[scope, part, tokens] for (scope, part), tokens in view.parts.items()]
    # As in updates, a part that may be fetched stands there once more.
    parts += [
        [*key, tokens]
        for key, tokens in view.parts.items()
        if key not in view.unconfirmed
    ]
    return cbor2.dumps([number, view.life or 0, view.clock_ms(now) or 0, parts])


def decode_view(data: bytes) -> StoreAnswer:
    """Decode a whole view; raise ``ValueInvalidError``."""
    number, life, clock_ms, parts = cbor.read_list(cbor.load(data), VIEW_FIELDS)
    return StoreAnswer(
        life=cbor.read_unsigned(life),
        next_number=cbor.read_unsigned(number),
        has_gap=False,
        changes=tuple(map(_change, cbor.read_list(parts))),
        clock_ms=cbor.read_unsigned(clock_ms) or None,
        max_age_ms=round(VIEW_MAX_AGE_SECONDS * MILLISECONDS_PER_SECOND),
    )


def _change(value: object) -> StoreChange:
    scope, part, tokens = cbor.read_list(value, 3)
    return StoreChange(
        scope=cbor.read_string(scope),
        part=cbor.read_string(part),
        tokens=cbor.read_unsigned(tokens),
    )
