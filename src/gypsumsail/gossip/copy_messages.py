"""What a VM tells others of its readings of the store, in CBOR."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

import cbor2

from gypsumsail.catalog.freshness import CopyConfirmation
from gypsumsail.core import cbor
from gypsumsail.core.units import MILLISECONDS_PER_SECOND

COPIES_FORMAT_VERSION: Final = 6
"""Version of the format, which also tells it from other datagrams."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CopiesConfirmed:
    """Readings of the sender."""

    host: str
    confirmations: tuple[CopyConfirmation, ...]


def encode_confirmed(message: CopiesConfirmed) -> bytes:
    """Encode a message."""
    rows = [
        [item.kind, item.changed_revision, round(item.age * MILLISECONDS_PER_SECOND)]
        for item in message.confirmations
    ]
    return cbor2.dumps([COPIES_FORMAT_VERSION, message.host, rows])


def is_confirmed(fields: object) -> bool:
    """Return whether a decoded datagram is such a message."""
    return isinstance(fields, list) and fields[:1] == [COPIES_FORMAT_VERSION]


def parse_confirmed(value: object) -> CopiesConfirmed:
    """Parse a decoded datagram; raises ``ValueInvalidError``."""
    _, host, rows = _MESSAGE.read(value)
    return CopiesConfirmed(
        host=host,
        confirmations=tuple(
            CopyConfirmation(
                kind=kind,
                changed_revision=revision,
                age=age_ms / MILLISECONDS_PER_SECOND,
            )
            for kind, revision, age_ms in _CONFIRMATION.read_all(rows)
        ),
    )


_MESSAGE: Final = cbor.RowReader(int, str, list)
_CONFIRMATION: Final = cbor.RowReader(str, int, int)
