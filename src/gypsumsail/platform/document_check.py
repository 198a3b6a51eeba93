"""Reads routing documents for the check, with places in the operator's field names."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
import json
import re
from typing import Any, Final

import msgspec

from gypsumsail.core.clock import SystemClock
from gypsumsail.document_check.models import (
    CustomerEntry,
    DecodedDocument,
    DocumentFinding,
    Entry,
    FieldNames,
    Reading,
    RouteEntry,
    ServiceEntry,
    Severity,
)
from gypsumsail.gateway.models import Address, Route, RoutingDocument
from gypsumsail.platform.client import JsonClient
from gypsumsail.platform.documents import (
    ABSENT,
    CALL_KINDS,
    DocumentFields,
    EntryInvalidError,
    decode_document,
    decode_document_fields,
    decode_fields,
)
from gypsumsail.platform.names import ROUTING_DOCUMENT_KEY
from gypsumsail.platform.objects import PlatformObjects
from gypsumsail.platform.text import parse_address
from gypsumsail.vm.const import STORE_TIMEOUT_SECONDS

NAMES: Final = FieldNames(
    host="host",
    prefix="path_prefix",
    timeout="timeout_ms",
    latency_goal="goal_ms",
    max_targets="attempts",
    is_resumable="resumable",
    head_bytes="max_header_bytes",
    body_bytes="max_body_bytes",
    request_seconds="header_timeout_ms",
    idle_seconds="idle_timeout_ms",
)
SPEC_FIELD: Final = "spec"
"""Field of an object of the store that holds the document."""
GROUPS: Final = ("routes", "services", "tenants")
"""Fields of the document that are lists of named entries."""
LIMITS: Final = "limits"
KEYS: Final = "api_keys"

_ERROR_PATH: Final = re.compile(r" - at `\$(?:\[0\])?\.?(.*)`$")
_Members = Mapping[str, msgspec.Raw]


class _Named(msgspec.Struct, frozen=True):
    name: str


async def async_stored_document(store: Address) -> bytes | None:
    """Return the routing document in the object store; ``None`` if there is none.

    Raises
    ------
    TransportError
        The store did not answer.
    """
    client = JsonClient(store)
    try:
        objects = PlatformObjects(client, STORE_TIMEOUT_SECONDS, SystemClock())
        found = await objects.async_get(ROUTING_DOCUMENT_KEY)
    finally:
        client.close()
    return None if found is None else found.value


def read_document(data: bytes) -> Reading:
    """Read a document, or an object of the store that holds one, as a VM does."""
    try:
        members = _members(data)
        if SPEC_FIELD in members and GROUPS[0] not in members:
            data = bytes(members[SPEC_FIELD])
            members = _members(data)
    except EntryInvalidError as err:
        return Reading(decoded=None, findings=(_error("", _syntax_error(data, err)),))
    try:
        document = decode_document(data, 0)
    except EntryInvalidError as err:
        found = tuple(_field_errors(members))
        return Reading(decoded=None, findings=found or (_error("", str(err)),))
    fields, _ = decode_document_fields(data)
    findings = (
        *_invalid_fields(document, fields),
        *_unknown_fields(members, fields),
    )
    return Reading(decoded=_decoded(document, fields), findings=findings)


def _decoded(document: RoutingDocument, fields: DocumentFields) -> DecodedDocument:
    routes, services, customers = _entry_places(fields)
    return DecodedDocument(
        document=document,
        names=NAMES,
        limits_place=LIMITS,
        routes=tuple(
            _route_entry(place, route, len(item.split))
            for place, route, item in zip(
                routes, document.routes, fields.routes, strict=True
            )
        ),
        services=tuple(
            ServiceEntry(place=place, name=item.name, is_store=bool(item.kv_store_addr))
            for place, item in zip(services, fields.services, strict=True)
        ),
        customers=tuple(
            CustomerEntry(
                place=place, keys_place=f"{place}.{KEYS}", keys=tuple(item.api_keys)
            )
            for place, item in zip(customers, fields.tenants or (), strict=True)
        ),
        entries=dict(_entries(fields)),
    )


def _route_entry(place: str, route: Route, parts: int) -> RouteEntry:
    """Return a route; ``parts`` is the length of its list of weighted services."""
    split = [f"{place}.split[{index}]" for index in range(parts)]
    return RouteEntry(
        place=place,
        route=route,
        service_places=tuple(f"{part}.service" for part in split or [place]),
        weight_places=tuple(f"{part}.weight" for part in split or [place]),
    )


def _invalid_fields(
    document: RoutingDocument, fields: DocumentFields
) -> Iterator[DocumentFinding]:
    """Find fields that VMs replace by a safe value or ignore."""
    for field in document.invalid_fields:
        message = "is missing or can't be read; VMs use a safe value in its place"
        yield _error(_invalid_place(field), message)
    for place, item in zip(_entry_places(fields)[1], fields.services, strict=True):
        if item.kv_store_addr and parse_address(item.kv_store_addr) is None:
            message = "must have the form IP:PORT; VMs ignore this store"
            yield _error(f"{place}.kv_store_addr", message)


def _error(place: str, message: str) -> DocumentFinding:
    return DocumentFinding(severity=Severity.ERROR, place=place, message=message)


def _members(data: bytes) -> _Members:
    found: _Members = decode_fields(data, dict[str, msgspec.Raw])
    return found


def _members_or_none(raw: msgspec.Raw) -> _Members:
    """Return the fields of an entry; none if it is no object."""
    try:
        return _members(bytes(raw))
    except EntryInvalidError:
        return {}


def _syntax_error(data: bytes, error: EntryInvalidError) -> str:
    """Return why data is not an object of JSON, with line and column if possible."""
    try:
        json.loads(data)
    except json.JSONDecodeError as err:
        return f"line {err.lineno}, column {err.colno}: {err.msg}"
    except UnicodeDecodeError as err:
        return f"byte {err.start}: not valid UTF-8"
    except RecursionError:
        return "nested too deeply"
    return str(error.__cause__)


def _field_errors(members: _Members) -> Iterator[DocumentFinding]:
    """Find the first error of each entry; decoding as a whole stops at the first."""
    for field in msgspec.structs.fields(DocumentFields):
        raw = members.get(field.name)
        if raw is None:
            if field.required:
                yield _error(field.name, "is missing")
            continue
        items = _items(raw) if field.name in GROUPS else None
        if items is None:
            yield from _decode_error(field.name, bytes(raw), field.type)
            continue
        for place, item in zip(_item_places(field.name, items), items, strict=True):
            errors = list(_decode_error(place, b"[" + bytes(item) + b"]", field.type))
            yield from errors
            if field.name == GROUPS[0] and not errors and not _has_kind(item):
                kinds = ", ".join(sorted(CALL_KINDS))
                yield _error(f"{place}.kind", f"must be one of {kinds}")


def _decode_error(place: str, data: bytes, kind: Any) -> Iterator[DocumentFinding]:
    try:
        decode_fields(data, kind)
    except EntryInvalidError as err:
        message = str(err.__cause__)
        found = _ERROR_PATH.search(message)
        path = found[1] if found is not None else ""
        yield _error(f"{place}.{path}" if path else place, _ERROR_PATH.sub("", message))


def _has_kind(route: msgspec.Raw) -> bool:
    return decode_fields(bytes(route), dict[str, Any]).get("kind") in CALL_KINDS


def _items(raw: msgspec.Raw) -> list[msgspec.Raw] | None:
    """Return the items of a list; ``None`` if the value is no list."""
    try:
        items: list[msgspec.Raw] = decode_fields(bytes(raw), list[msgspec.Raw])
    except EntryInvalidError:
        return None
    return items


def _item_places(group: str, items: list[msgspec.Raw]) -> list[str]:
    """Return the place of each item; without a readable name it is the index."""
    names = []
    for index, item in enumerate(items):
        try:
            names.append(decode_fields(bytes(item), _Named).name)
        except EntryInvalidError:
            names.append(str(index))
    return _places(group, names)


def _places(group: str, names: Iterable[str]) -> list[str]:
    """Return the place of each entry; repeated names are numbered from 2."""
    counts: Counter[str] = Counter()
    places = []
    for name in names:
        counts[name] += 1
        number = f" ({counts[name]})" if counts[name] > 1 else ""
        places.append(f"{group}[{name}]{number}")
    return places


def _entry_places(fields: DocumentFields) -> list[list[str]]:
    return [
        _places(group, (item.name for item in getattr(fields, group) or ()))
        for group in GROUPS
    ]


def _invalid_place(field: str) -> str:
    """Return the place of an invalid field, which may be ``services.NAME.FIELD``."""
    group = f"{GROUPS[1]}."
    if not field.startswith(group):
        return field
    name, _, last = field.removeprefix(group).rpartition(".")
    return f"{GROUPS[1]}[{name}].{last}"


def _unknown_fields(
    members: _Members, fields: DocumentFields
) -> Iterator[DocumentFinding]:
    """Find fields that VMs don't read, such as misspelt ones."""
    known: list[tuple[str, Any, _Members]] = [("", fields, members)]
    if LIMITS in members:
        known.append((LIMITS, fields.limits, _members(bytes(members[LIMITS]))))
    for group, places in zip(GROUPS, _entry_places(fields), strict=True):
        raws = _items(members.get(group, msgspec.Raw(b"[]"))) or []
        items = getattr(fields, group) or ()
        for place, item, raw in zip(places, items, raws, strict=True):
            known.append((place, item, _members_or_none(raw)))
    for place, item, found in known:
        for name in sorted(found.keys() - set(item.__struct_fields__)):
            yield DocumentFinding(
                severity=Severity.WARNING,
                place=f"{place}.{name}".lstrip("."),
                message="VMs don't know this field and ignore it",
            )


def _entries(fields: DocumentFields) -> Iterator[tuple[str, Entry]]:
    """Return the entries for a comparison; the document itself has an empty place."""
    tenants = "null" if fields.tenants is None else "[...]"
    yield "", Entry(fields={"version": str(fields.version), GROUPS[2]: tenants})
    yield LIMITS, Entry(fields=_values(fields.limits))
    for group, places in zip(GROUPS, _entry_places(fields), strict=True):
        for place, item in zip(places, getattr(fields, group) or (), strict=True):
            keys = frozenset(getattr(item, KEYS, ()))
            yield place, Entry(fields=_values(item), keys=keys, keys_name=KEYS)


def _values(item: msgspec.Struct) -> dict[str, str]:
    """Return the fields as JSON, without the API keys."""
    return {
        name: _text(getattr(item, name))
        for name in item.__struct_fields__
        if name != KEYS
    }


def _text(value: Any) -> str:
    if isinstance(value, msgspec.Raw):
        if value == ABSENT:
            return "absent"
        try:
            value = decode_fields(bytes(value), Any)
        except EntryInvalidError:
            return "unreadable"
    return msgspec.json.encode(value).decode()
