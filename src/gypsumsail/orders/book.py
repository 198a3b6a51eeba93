"""The book of turns in the platform's object API."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.object_api.port import MUST_NOT_EXIST, ObjectApi
from gypsumsail.orders.codec import decode_book, encode_book
from gypsumsail.orders.const import TURNS_KEY
from gypsumsail.orders.models import EMPTY_BOOK, TurnBook


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredBook:
    """A book of turns and the version of its object."""

    version: int
    book: TurnBook


async def async_read_book(api: ObjectApi) -> StoredBook:
    """Read the book.

    Raises
    ------
    TransportError
        It could not be read.
    OrdersCorruptError
        It can't be decoded.
    """
    found = await api.async_get(TURNS_KEY)
    if found is None or found.value is None:
        return StoredBook(version=MUST_NOT_EXIST, book=EMPTY_BOOK)
    return StoredBook(version=found.version, book=decode_book(found.value))


async def async_write_book(api: ObjectApi, before: StoredBook, book: TurnBook) -> None:
    """Write the book when it is still as it was read.

    Before orders it is written also unchanged: the read may have been stale.

    Raises
    ------
    ConflictError
        Another issuer wrote first.
    TransportError
        It isn't known whether the book was written.
    """
    await api.async_put(TURNS_KEY, encode_book(book), if_version=before.version)
