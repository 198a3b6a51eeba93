"""Reads the answers of the platform's object store, entry by entry.

Other writers may leave entries that no decoder takes: half of a surrogate pair, values
nested too deep, numbers out of range. Such an entry must not cost the others in the
same answer, so each one is decoded alone.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterator, Sequence
import contextlib
from dataclasses import dataclass, field
from itertools import islice
import logging
import re
from typing import Annotated, Any, Final

import msgspec
import xxhash

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.eras import REVISION_BITS, position
from gypsumsail.object_api.port import Listing, PlatformObject
from gypsumsail.platform import names
from gypsumsail.platform.text import MAX_NAME_LENGTH, MAX_SMALL_VALUE_BYTES

_LOGGER = logging.getLogger(__name__)

MAX_REMEMBERED_ENTRIES: Final = 1_000
"""Maximum number of entries left out that are remembered, so as to log them once."""
MAX_PAGE_COMMAS: Final = 500_000
"""Number of commas of an answer from which its entries are counted while it is split.

Each entry takes about 50 bytes of memory before it is checked. Texts and lists within
an entry may contain any number of commas.
"""
MAX_SPLIT_ENTRIES: Final = 20_000
"""Maximum number of entries of such an answer; a page of a listing has about 500."""
SKIPPED_LEVELS: Final = 6
"""Number of levels of nested values that one match skips while an answer is split."""
MAX_NAME_SEARCH_BYTES: Final = 1_024
"""Number of bytes in which the name of an unreadable entry is looked for."""
MAX_LOGGED_BYTES: Final = 80
"""Number of bytes of an entry left out that are logged."""
OPAQUE_FIELD: Final = "base64"
"""Field of a spec that holds the gateway's own bytes in Base64."""
WRITE_ID_FIELD: Final = "write"
"""Field with a unique ID, which makes repeated writes of the same bytes differ."""

_SMALL_KINDS: Final = frozenset({names.TARGET_KIND, names.WEIGHTS_KIND, names.VM_KIND})

_TEXT = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'


def _run_of_values(stops: bytes) -> re.Pattern[bytes]:
    """Return a pattern of any values and separators except the bytes ``stops``.

    It stops at a bracket too that begins deeper levels than `SKIPPED_LEVELS`, or that
    has no counterpart.
    """
    nested = inner = rb'[^"\[\]{}]++|' + _TEXT
    for _ in range(SKIPPED_LEVELS - 1):
        nested = inner + rb"|[\[{](?:" + nested + rb")*+[\]}]"
    outer = rb'[^"\[\]{}' + stops + rb"]++|" + _TEXT
    pattern = rb"(?:" + outer + rb"|[\[{](?:" + nested + rb")*+[\]}])*+"
    return re.compile(pattern, re.DOTALL)


_OPENING = re.compile(rb"[\[{]")
_UP_TO_BRACKET = _run_of_values(b"")
_UP_TO_COMMA = _run_of_values(b",")
_MEMBER_NAME = re.compile(rb"\s*(" + _TEXT + rb")\s*:", re.DOTALL)
_NAME = re.compile(rb'"name"\s*:\s*"([^"]{1,256})"')


_Revision = Annotated[int, msgspec.Meta(ge=0, lt=1 << REVISION_BITS)]


class _Metadata(msgspec.Struct, frozen=True):
    name: str
    rev: _Revision


class _Entry(msgspec.Struct, frozen=True):
    """An object; ``spec`` is decoded by whoever knows its kind."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct, frozen=True):
    object: _Entry
    deleted: bool = False


class _SoundPage(msgspec.Struct, frozen=True):
    """Answer of which each entry can be read."""

    store_revision: _Revision
    items: list[_Entry] | msgspec.UnsetType = msgspec.UNSET
    events: list[_Event] | msgspec.UnsetType = msgspec.UNSET
    has_more: bool = False


class _RawEvent(msgspec.Struct, frozen=True):
    object: msgspec.Raw
    deleted: bool = False


class _RawPage(msgspec.Struct, frozen=True):
    """Answer whose entries are decoded one by one, as some can't be read."""

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
        Number of entries without a readable name or version, each time that they were
        read.
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
        objects = [self._entry_or_raw(kind, item, era) for item in page.items]
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
        objects = [self._event(kind, item, era) for item in page.events]
        return StorePage(
            objects=tuple(found for found in objects if found is not None),
            revision=position(era, page.store_revision),
            has_more=False,
            last_name="",
        )

    def _event(
        self, kind: str, item: _Event | msgspec.Raw, era: int
    ) -> PlatformObject | None:
        event: _Event | _RawEvent
        if isinstance(item, _Event):
            event = item
        else:
            raw = bytes(item)
            try:
                event = _decode_members(raw, _RawEvent)
            except _DECODE_ERRORS as err:
                self._leave_out(kind, _name_in(raw), raw, str(err))
                return None
        found = self._entry_or_raw(kind, event.object, era)
        if found is None or not event.deleted:
            return found
        return PlatformObject(key=found.key, version=found.version, value=None)

    def _entry_or_raw(
        self, kind: str, item: _Entry | msgspec.Raw, era: int
    ) -> PlatformObject | None:
        if isinstance(item, _Entry):
            return self._object(kind, item, era)
        return self.entry(kind, bytes(item), era)

    def entry(self, kind: str, raw: bytes, era: int) -> PlatformObject | None:
        """Read an object; return ``None`` if its name or version can't be read."""
        try:
            entry: _Entry = _decode_members(raw, _Entry)
        except _DECODE_ERRORS as err:
            self._leave_out(kind, _name_in(raw), raw, str(err))
            return None
        return self._object(kind, entry, era)

    def _object(self, kind: str, entry: _Entry, era: int) -> PlatformObject | None:
        name = entry.metadata.name
        spec = memoryview(entry.spec)
        if not name or len(name) > MAX_NAME_LENGTH:
            reason = "the name is empty or too long"
            self._leave_out(kind, name, bytes(spec[:MAX_LOGGED_BYTES]), reason)
            return None
        key = f"{kind}/{name}"
        if has_small_value(key) and len(spec) > MAX_SMALL_VALUE_BYTES:
            # The object replaces an earlier one, and its kind rejects an empty value.
            reason = f"{len(spec)} bytes, {MAX_SMALL_VALUE_BYTES} are allowed"
            self._log_once(kind, name, bytes(spec[:MAX_LOGGED_BYTES]), reason)
            value = b""
        else:
            value = _value(bytes(spec))
        return PlatformObject(
            key=key, version=position(era, entry.metadata.rev), value=value
        )

    def _leave_out(self, kind: str, name: str, raw: bytes, reason: str) -> None:
        self.left_out += 1
        self._log_once(kind, name, raw, reason)

    def _log_once(self, kind: str, name: str, raw: bytes, reason: str) -> None:
        """Log that an entry isn't used, unless it was logged before.

        Parameters
        ----------
        name
            Name of the entry, by which it is known again when it was changed; empty if
            it can't be read.
        raw
            The entry, or the beginning of its value.
        """
        known_by = f"{kind}/{name}".encode("utf-8", "replace") if name else raw
        digest = xxhash.xxh3_64_intdigest(known_by)
        if digest in self.logged:
            return
        self.logged[digest] = None
        if len(self.logged) > MAX_REMEMBERED_ENTRIES:
            del self.logged[next(iter(self.logged))]
        _LOGGER.warning(
            "Object %s of kind %s is left out: %s: %r",
            name[:MAX_NAME_LENGTH] or "without a name",
            kind,
            reason,
            raw[:MAX_LOGGED_BYTES],
        )


def has_small_value(key: str) -> bool:
    """Return whether a larger value of an object is left out.

    The routing document and the gateway's own state may be as large as the store takes.
    """
    kind, _, _ = key.partition("/")
    if kind == names.ROUTING_DOCUMENT_KIND:
        return key != names.ROUTING_DOCUMENT_KEY
    return kind in _SMALL_KINDS


def _page(data: bytes) -> _SoundPage | _RawPage:
    with contextlib.suppress(*_DECODE_ERRORS):
        return msgspec.json.decode(data, type=_SoundPage)
    try:
        page: _RawPage = _decode_members(
            data, _RawPage, can_decode_all=data.count(b",") <= MAX_PAGE_COMMAS
        )
    except _DECODE_ERRORS as err:
        message = f"the answer of the store can't be read: {err}"
        raise TransportError(message, sent=True) from err
    return page


def _decode_members(
    data: bytes, kind: type[Any], *, can_decode_all: bool = True
) -> Any:
    """Decode an object of JSON, also if a value that stays raw is invalid.

    Parameters
    ----------
    can_decode_all
        Whether the object may be decoded before the number of its parts is known.
    """
    if can_decode_all:
        with contextlib.suppress(*_DECODE_ERRORS):
            return msgspec.json.decode(data, type=kind)
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
    items = list(islice(_parts(data), MAX_SPLIT_ENTRIES + 1))
    if len(items) > MAX_SPLIT_ENTRIES:
        raise TransportError("the answer of the store has too many parts", sent=True)
    return list(map(msgspec.Raw, items))


def _members(data: bytes) -> Iterator[tuple[str, bytes]]:
    for part in _parts(data):
        found = _MEMBER_NAME.match(part)
        if found is not None:
            name = found[1][1:-1].decode("utf-8", "replace")
            yield name, part[found.end() :].strip()


def _parts(data: bytes) -> Iterator[bytes]:
    """Split an array or object of JSON at its commas, without decoding its values."""
    opening = _OPENING.search(data)
    if opening is None:
        return
    start = end = opening.end()
    depth = 1
    while True:
        pattern = _UP_TO_COMMA if depth == 1 else _UP_TO_BRACKET
        found = pattern.match(data, end)
        end = found.end() if found is not None else end
        match data[end : end + 1]:
            case b"":
                return
            case b"[" | b"{":
                depth += 1
            case b"]" | b"}":
                depth -= 1
                if depth == 0:
                    if part := data[start:end].strip():
                        yield part
                    return
            case b"," if depth == 1:
                yield data[start:end].strip()
                start = end + 1
        end += 1


def _last_name(items: Sequence[_Entry | msgspec.Raw]) -> str:
    """Return the name of the last entry whose name can be read."""
    for item in reversed(items):
        if isinstance(item, _Entry):
            return item.metadata.name
        with contextlib.suppress(*_DECODE_ERRORS):
            entry: _Entry = _decode_members(bytes(item), _Entry)
            return entry.metadata.name
    return ""


def _name_in(raw: bytes) -> str:
    """Return the first name in an entry that can't be read; empty if there is none."""
    found = _NAME.search(raw, 0, MAX_NAME_SEARCH_BYTES)
    return found[1].decode("utf-8", "replace") if found is not None else ""


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
