"""Reads the answers of the platform's object store, entry by entry.

Other writers may leave entries that no decoder takes: half of a surrogate pair, values
nested too deep, numbers out of range. Such an entry must not cost the others in the
same answer, so each one is decoded alone.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterator
from dataclasses import dataclass, field
import logging
import re
from typing import Annotated, Any, Final

import msgspec
import xxhash

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.eras import REVISION_BITS, position
from gypsumsail.object_api.port import Listing, PlatformObject
from gypsumsail.platform.text import MAX_NAME_LENGTH

_LOGGER = logging.getLogger(__name__)

MAX_REMEMBERED_ENTRIES: Final = 1_000
"""Maximum number of unreadable entries that are remembered, so as to log them once."""
MAX_PAGE_COMMAS: Final = 500_000
"""Maximum number of commas of an answer, which bounds the number of its entries.

Each entry takes about 50 bytes of memory before it is checked.
"""
MAX_LOGGED_BYTES: Final = 80
"""Number of bytes of an unreadable entry that are logged."""
OPAQUE_FIELD: Final = "base64"
"""Field of a spec that holds the gateway's own bytes in Base64."""
WRITE_ID_FIELD: Final = "write"
"""Field with a unique ID, which makes repeated writes of the same bytes differ."""

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_STRING = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)


_Revision = Annotated[int, msgspec.Meta(ge=0, lt=1 << REVISION_BITS)]


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    rev: _Revision


class _Entry(msgspec.Struct, frozen=True):
    """An object; ``spec`` is decoded by whoever knows its kind."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct, frozen=True):
    object: msgspec.Raw
    deleted: bool = False


class _Page(msgspec.Struct, frozen=True):
    store_revision: _Revision
    items: list[msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET
    events: list[msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET
    has_more: bool = False


class _Opaque(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    base64: str
    write: str


_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True, slots=True, kw_only=True)
class StorePage:
    """One answer to a listing or a watch.

    Attributes
    ----------
    objects
        Readable objects, in the order of the answer; removed ones have no value.
    last_name
        Name of the last entry, from which the next page continues; empty without one.
    """

    objects: tuple[PlatformObject, ...]
    revision: int
    has_more: bool
    last_name: str

    def as_listing(self) -> Listing:
        """Return the page without what concerns other pages."""
        return Listing(objects=self.objects, revision=self.revision)


@dataclass(slots=True)
class StoreAnswers:
    """Reads answers, and logs each entry that can't be read once.

    Attributes
    ----------
    left_out
        Number of entries that were left out, each time that they were read.
    logged
        Hashes of the entries that were logged.
    """

    left_out: int = 0
    logged: dict[int, None] = field(default_factory=dict)

    def listing(self, kind: str, data: bytes, era: int) -> StorePage:
        """Read a page of a listing; raises ``TransportError``."""
        page = _page(data)
        if isinstance(page.items, msgspec.UnsetType):
            raise TransportError("list: the answer has no list of items", sent=True)
        objects = [self.entry(kind, bytes(raw), era) for raw in page.items]
        return StorePage(
            objects=tuple(found for found in objects if found is not None),
            revision=position(era, page.store_revision),
            has_more=page.has_more and bool(page.items),
            last_name=_last_name(page.items),
        )

    def watch(self, kind: str, data: bytes, era: int) -> StorePage:
        """Read the answer to a watch; raises ``TransportError``."""
        page = _page(data)
        if isinstance(page.events, msgspec.UnsetType):
            raise TransportError("watch: the answer has no list of events", sent=True)
        objects = [self._event(kind, bytes(raw), era) for raw in page.events]
        return StorePage(
            objects=tuple(found for found in objects if found is not None),
            revision=position(era, page.store_revision),
            has_more=False,
            last_name="",
        )

    def _event(self, kind: str, raw: bytes, era: int) -> PlatformObject | None:
        try:
            event = _decode_members(raw, _Event)
        except _DECODE_ERRORS as err:
            self._leave_out(kind, raw, str(err))
            return None
        found = self.entry(kind, bytes(event.object), era)
        if found is None or not event.deleted:
            return found
        return PlatformObject(key=found.key, version=found.version, value=None)

    def entry(self, kind: str, raw: bytes, era: int) -> PlatformObject | None:
        """Read an object; return ``None`` if its name or version can't be read."""
        try:
            entry = _decode_members(raw, _Entry)
        except _DECODE_ERRORS as err:
            self._leave_out(kind, raw, str(err))
            return None
        name = entry.metadata.name
        if not name or len(name) > MAX_NAME_LENGTH:
            self._leave_out(kind, raw, "the name is empty or too long")
            return None
        return PlatformObject(
            key=f"{kind}/{name}",
            version=position(era, entry.metadata.rev),
            value=_value(bytes(entry.spec)),
        )

    def _leave_out(self, kind: str, raw: bytes, reason: str) -> None:
        self.left_out += 1
        digest = xxhash.xxh3_64_intdigest(raw)
        if digest in self.logged:
            return
        self.logged[digest] = None
        if len(self.logged) > MAX_REMEMBERED_ENTRIES:
            del self.logged[next(iter(self.logged))]
        _LOGGER.warning(
            "Object of kind %s is left out: %s: %r",
            kind,
            reason,
            raw[:MAX_LOGGED_BYTES],
        )


def _page(data: bytes) -> _Page:
    if data.count(b",") > MAX_PAGE_COMMAS:
        raise TransportError("the answer of the store has too many parts", sent=True)
    try:
        page: _Page = _decode_members(data, _Page)
    except _DECODE_ERRORS as err:
        message = f"the answer of the store can't be read: {err}"
        raise TransportError(message, sent=True) from err
    return page


def _decode_members(data: bytes, kind: type[Any]) -> Any:
    """Decode an object of JSON, also if a value that stays raw is invalid."""
    try:
        return msgspec.json.decode(data, type=kind)
    except _DECODE_ERRORS:
        members = dict(_members(data))
        values = {
            item.name: _member(members[item.encode_name], item.type)
            for item in msgspec.structs.fields(kind)
            if item.encode_name in members
        }
    return msgspec.convert(values, kind)


def _member(data: bytes, kind: Any) -> Any:
    if kind is msgspec.Raw:
        return msgspec.Raw(data)
    if kind in (bool, _Revision, _Metadata):
        return msgspec.json.decode(data, type=kind)
    return [msgspec.Raw(item) for item in _parts(data)]


def _members(data: bytes) -> Iterator[tuple[str, bytes]]:
    for part in _parts(data):
        found = _STRING.match(part)
        if found is not None:
            name = found[1][1:-1].decode("utf-8", "replace")
            yield name, part[found.end() :].strip()


def _parts(data: bytes) -> Iterator[bytes]:
    """Split an array or object of JSON at its commas, without decoding its values."""
    depth = start = 0
    for token in _TOKEN.finditer(data):
        match token[0]:
            case b"[" | b"{":
                depth += 1
                if depth == 1:
                    start = token.end()
            case b"]" | b"}":
                depth -= 1
                if depth == 0:
                    if part := data[start : token.start()].strip():
                        yield part
                    return
            case b"," if depth == 1:
                yield data[start : token.start()].strip()
                start = token.end()


def _last_name(items: list[msgspec.Raw]) -> str:
    """Return the name of the last entry whose name can be read."""
    for raw in reversed(items):
        try:
            name: str = _decode_members(bytes(raw), _Entry).metadata.name
        except _DECODE_ERRORS:
            continue
        return name
    return ""


def _value(spec: bytes) -> bytes:
    """Return the gateway's own bytes, empty if undecodable, or the spec as JSON."""
    if OPAQUE_FIELD.encode() not in spec:
        return spec
    try:
        opaque = msgspec.json.decode(spec, type=_Opaque)
    except _DECODE_ERRORS:
        return spec
    try:
        return base64.b64decode(opaque.base64, validate=True)
    except (binascii.Error, ValueError):
        return b""
