"""CBOR codec for the messages between entries, derived from their data classes.

A message is encoded as the list of its field values. New fields may only be added
at the end and need a default: an older entry ignores them, and a newer entry fills
in the default when an older one does not send them.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from enum import StrEnum
from functools import cache
import types
from typing import (
    Any,
    Final,
    NoReturn,
    TypeVar,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

import cbor2

from gypsumsail.peers.const import MAX_DEPTH, MAX_INTEGER, MAX_TAG
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.peers.port import Message

Reader = Callable[[object], Any]
_MessageT = TypeVar("_MessageT", bound=Message)

_TYPES: Final[dict[str, type[Message]]] = {}
_NAMES: Final[dict[type[Message], str]] = {}
_READERS: Final[dict[Any, Reader]] = {}


def message(name: str) -> Callable[[type[_MessageT]], type[_MessageT]]:
    """Register a data class under its name on the wire.

    Raises
    ------
    ValueError
        The name is already registered.
    """

    def register(message_type: type[_MessageT]) -> type[_MessageT]:
        if name in _TYPES:
            raise ValueError(f"message name {name} is already registered")
        _TYPES[name] = message_type
        _NAMES[message_type] = name
        return message_type

    return register


def name_of(message_type: type[Message]) -> str:
    """Return the name on the wire of a registered message type."""
    return _NAMES[message_type]


def pack_message(value: Message) -> list[object]:
    """Return the wire name and the field values of a message for encoding."""
    return [_NAMES[type(value)], to_plain(value)]


def unpack_message(name: object, fields: object) -> Message:
    """Decode a message from its wire name and fields; raises MessageInvalidError."""
    message_type = _TYPES.get(name) if isinstance(name, str) else None
    if message_type is None:
        raise MessageInvalidError(f"unknown message type {name!r}")
    result = reader_of(message_type)(fields)
    assert isinstance(result, Message)
    return result


def dump(value: object) -> bytes:
    """Encode plain values as CBOR."""
    return cbor2.dumps(value)


def load(data: bytes) -> object:
    """Decode CBOR bytes to plain values; raises MessageInvalidError."""
    try:
        return cbor2.loads(
            data,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
            tag_hook=_refuse_tag,
            semantic_decoders=_REFUSED_TAGS,
        )
    except (cbor2.CBORError, ValueError, RecursionError, OverflowError) as error:
        raise MessageInvalidError(f"invalid CBOR: {error}") from error


def to_plain(value: object) -> object:
    """Convert a field value to types that CBOR can encode."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [to_plain(getattr(value, name)) for name in _field_names(type(value))]
    if isinstance(value, StrEnum):
        return value.value
    if isinstance(value, tuple | list):
        return [to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    return value


def reader_of(hint: Any) -> Reader:
    """Return the function that validates a plain value and converts it to a type."""
    reader = _READERS.get(hint)
    if reader is None:
        reader = _READERS[hint] = _make_reader(hint)
    return reader


def _make_reader(hint: Any) -> Reader:
    if dataclasses.is_dataclass(hint):
        return _read_fields(hint)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return _read_enum(hint)
    if hint in _SCALARS:
        return _SCALARS[hint]
    origin, arguments = get_origin(hint), get_args(hint)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _read_tuple(reader_of(arguments[0]))
    if origin is dict and arguments[0] is str:
        return _read_mapping(reader_of(arguments[1]))
    if origin in (Union, types.UnionType) and len(arguments) == 2:
        return _read_optional(hint, arguments)
    raise TypeError(f"type {hint!r} has no encoding")


@cache
def _field_names(data_class: type) -> tuple[str, ...]:
    return tuple(item.name for item in dataclasses.fields(data_class))


def _read_fields(data_class: Any) -> Reader:
    hints = get_type_hints(data_class)
    names = _field_names(data_class)
    readers = [reader_of(hints[name]) for name in names]
    required = sum(
        item.default is dataclasses.MISSING
        and item.default_factory is dataclasses.MISSING
        for item in dataclasses.fields(data_class)
    )

    def read(value: object) -> object:
        if not isinstance(value, list) or len(value) < required:
            raise MessageInvalidError(
                f"{data_class.__name__}: required fields are missing"
            )
        known = zip(names, readers, value, strict=False)
        try:
            return data_class(**{name: reader(item) for name, reader, item in known})
        except ValueError as error:
            raise MessageInvalidError(f"{data_class.__name__}: {error}") from error

    return read


def _read_enum(enum_type: type[StrEnum]) -> Reader:
    def read(value: object) -> StrEnum:
        try:
            return enum_type(_read_text(value))
        except ValueError as error:
            raise MessageInvalidError(str(error)) from error

    return read


def _read_tuple(item_reader: Reader) -> Reader:
    def read(value: object) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise MessageInvalidError("expected a list")
        return tuple(item_reader(item) for item in value)

    return read


def _read_mapping(item_reader: Reader) -> Reader:
    def read(value: object) -> dict[str, Any]:
        if not isinstance(value, dict):
            raise MessageInvalidError("expected a map")
        return {_read_text(key): item_reader(item) for key, item in value.items()}

    return read


def _read_optional(hint: Any, arguments: tuple[Any, ...]) -> Reader:
    inner = [item for item in arguments if item is not type(None)]
    if len(inner) != 1:
        raise TypeError(f"type {hint!r} has no encoding")
    reader = reader_of(inner[0])
    return lambda value: None if value is None else reader(value)


def _read_text(value: object) -> str:
    if not isinstance(value, str):
        raise MessageInvalidError("expected a text string")
    return value


def _read_bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise MessageInvalidError("expected a byte string")
    return value


def _read_bool(value: object) -> bool:
    if not isinstance(value, bool):
        raise MessageInvalidError("expected a boolean")
    return value


def _read_int(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise MessageInvalidError("expected an integer")
    if not -MAX_INTEGER <= value < MAX_INTEGER:
        raise MessageInvalidError("integer is out of range")
    return value


def _read_float(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MessageInvalidError("expected a number")
    if value != value or abs(value) > MAX_INTEGER:
        raise MessageInvalidError("number is out of range")
    return float(value)


def _refuse_tag(*_: object) -> NoReturn:
    raise ValueError("CBOR tags are not allowed")


_REFUSED_TAGS: Final = dict.fromkeys(range(MAX_TAG), _refuse_tag)
_SCALARS: Final[dict[Any, Reader]] = {
    str: _read_text,
    bytes: _read_bytes,
    bool: _read_bool,
    int: _read_int,
    float: _read_float,
}
