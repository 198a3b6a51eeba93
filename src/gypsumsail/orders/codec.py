"""Encoding of the lease and of the book of turns."""

from __future__ import annotations

from typing import Any

import cbor2

from gypsumsail.orders.errors import OrdersCorruptError
from gypsumsail.orders.models import LeaseRecord, NewestOrdered, Turn, TurnBook

_DECODE_ERRORS = (cbor2.CBORDecodeError, TypeError, ValueError)


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
        holder, fence, seconds = cbor2.loads(value)
        return LeaseRecord(
            holder=_text(holder), fence=int(fence), seconds=float(seconds)
        )
    except _DECODE_ERRORS as err:
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
        turns, newest = cbor2.loads(value)
        return TurnBook(
            turns=tuple(_turn(*fields) for fields in turns),
            newest=tuple(
                NewestOrdered(service=_text(service), document_version=int(version))
                for service, version in newest
            ),
        )
    except _DECODE_ERRORS as err:
        raise OrdersCorruptError(f"book of turns can't be decoded: {err}") from err


def _turn(target: Any, service: Any, zone: Any, version: Any) -> Turn:
    return Turn(
        target=_text(target),
        service=_text(service),
        zone=_text(zone),
        document_version=int(version),
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("no text")
    return value
