"""Encoding of the lease and of the book of turns."""

from __future__ import annotations

from typing import Final

import cbor2

from gypsumsail.core import cbor
from gypsumsail.orders.errors import OrdersCorruptError
from gypsumsail.orders.models import LeaseRecord, NewestOrdered, Turn, TurnBook

LEASE_FIELDS: Final = 3
BOOK_FIELDS: Final = 2
TURN_FIELDS: Final = 4
NEWEST_FIELDS: Final = 2


def encode_lease(lease: LeaseRecord) -> bytes:
    """Encode a lease as CBOR."""
    return cbor2.dumps([lease.holder, lease.fence, lease.seconds])


def decode_lease(value: bytes) -> LeaseRecord:
    """Decode a lease.

    Raises
    ------
    OrdersCorruptError
        The value is no lease.
    """
    try:
        holder, fence, seconds = cbor.read_list(cbor.load(value), LEASE_FIELDS)
        return LeaseRecord(
            holder=cbor.read_text(holder),
            fence=cbor.read_count(fence),
            seconds=cbor.read_seconds(seconds),
        )
    except cbor.ValueInvalidError as err:
        raise OrdersCorruptError(f"lease can't be decoded: {err}") from err


def encode_book(book: TurnBook) -> bytes:
    """Encode a book of turns as CBOR."""
    turns = [
        [turn.target, turn.service, turn.zone, turn.document_version]
        for turn in book.turns
    ]
    newest = [[item.service, item.document_version] for item in book.newest]
    return cbor2.dumps([turns, newest])


def decode_book(value: bytes) -> TurnBook:
    """Decode a book of turns.

    Raises
    ------
    OrdersCorruptError
        The value is no book of turns.
    """
    try:
        turns, newest = cbor.read_list(cbor.load(value), BOOK_FIELDS)
        return TurnBook(
            turns=tuple(map(_turn, cbor.read_list(turns))),
            newest=tuple(map(_newest, cbor.read_list(newest))),
        )
    except cbor.ValueInvalidError as err:
        raise OrdersCorruptError(f"book of turns can't be decoded: {err}") from err


def _turn(value: object) -> Turn:
    target, service, zone, version = cbor.read_list(value, TURN_FIELDS)
    return Turn(
        target=cbor.read_text(target),
        service=cbor.read_text(service),
        zone=cbor.read_text(zone),
        document_version=cbor.read_count(version),
    )


def _newest(value: object) -> NewestOrdered:
    service, version = cbor.read_list(value, NEWEST_FIELDS)
    return NewestOrdered(
        service=cbor.read_text(service), document_version=cbor.read_count(version)
    )
