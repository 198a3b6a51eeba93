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

from gypsumsail.peers.const import INTEGER_BOUND, MAX_DEPTH, REFUSED_TAG_COUNT
from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.peers.port import Message

Decoder = Callable[[object], Any]
_MessageT = TypeVar("_MessageT", bound=Message)

_TYPES: Final[dict[str, type[Message]]] = {}
_NAMES: Final[dict[type[Message], str]] = {}
_DECODERS: Final[dict[Any, Decoder]] = {}


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
    result = decoder_for(message_type)(fields)
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


def decoder_for(hint: Any) -> Decoder:
    """Return the function that validates a plain value and converts it to a type."""
    decoder = _DECODERS.get(hint)
    if decoder is None:
        decoder = _DECODERS[hint] = _make_decoder(hint)
    return decoder


def _make_decoder(hint: Any) -> Decoder:
    if dataclasses.is_dataclass(hint):
        return _decode_fields(hint)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return _decode_enum(hint)
    if hint in _SCALARS:
        return _SCALARS[hint]
    origin, arguments = get_origin(hint), get_args(hint)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _decode_tuple(decoder_for(arguments[0]))
    if origin is dict and arguments[0] is str:
        return _decode_mapping(decoder_for(arguments[1]))
    if origin in (Union, types.UnionType) and len(arguments) == 2:
        return _decode_optional(hint, arguments)
    raise TypeError(f"type {hint!r} has no encoding")


@cache
def _field_names(data_class: type) -> tuple[str, ...]:
    return tuple(item.name for item in dataclasses.fields(data_class))


def _decode_fields(data_class: Any) -> Decoder:
    hints = get_type_hints(data_class)
    names = _field_names(data_class)
    decoders = [decoder_for(hints[name]) for name in names]
    required = sum(
        item.default is dataclasses.MISSING
        and item.default_factory is dataclasses.MISSING
        for item in dataclasses.fields(data_class)
    )

    def decode(value: object) -> object:
        if not isinstance(value, list) or len(value) < required:
            raise MessageInvalidError(
                f"{data_class.__name__}: required fields are missing"
            )
        known = zip(names, decoders, value, strict=False)
        try:
            return data_class(**{name: decoder(item) for name, decoder, item in known})
        except ValueError as error:
            raise MessageInvalidError(f"{data_class.__name__}: {error}") from error

    return decode


def _decode_enum(enum_type: type[StrEnum]) -> Decoder:
    def decode(value: object) -> StrEnum:
        try:
            return enum_type(_decode_text(value))
        except ValueError as error:
            raise MessageInvalidError(str(error)) from error

    return decode


def _decode_tuple(item_decoder: Decoder) -> Decoder:
    def decode(value: object) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise MessageInvalidError("expected a list")
        return tuple(item_decoder(item) for item in value)

    return decode


def _decode_mapping(item_decoder: Decoder) -> Decoder:
    def decode(value: object) -> dict[str, Any]:
        if not isinstance(value, dict):
            raise MessageInvalidError("expected a map")
        return {_decode_text(key): item_decoder(item) for key, item in value.items()}

    return decode


def _decode_optional(hint: Any, arguments: tuple[Any, ...]) -> Decoder:
    inner = [item for item in arguments if item is not type(None)]
    if len(inner) != 1:
        raise TypeError(f"type {hint!r} has no encoding")
    decoder = decoder_for(inner[0])
    return lambda value: None if value is None else decoder(value)


def _decode_text(value: object) -> str:
    if not isinstance(value, str):
        raise MessageInvalidError("expected a text string")
    return value


def _decode_bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise MessageInvalidError("expected a byte string")
    return value


def _decode_bool(value: object) -> bool:
    if not isinstance(value, bool):
        raise MessageInvalidError("expected a boolean")
    return value


def _decode_int(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise MessageInvalidError("expected an integer")
    if not -INTEGER_BOUND <= value < INTEGER_BOUND:
        raise MessageInvalidError("integer is out of range")
    return value


def _decode_float(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MessageInvalidError("expected a number")
    if value != value or abs(value) > INTEGER_BOUND:
        raise MessageInvalidError("number is out of range")
    return float(value)


# cbor2 calls this as the tag hook for the tags that it does not decode itself, and
# through ``_REFUSED_TAGS`` in place of its own decoders.
def _refuse_tag(*_: object) -> NoReturn:
    raise ValueError("CBOR tags are not allowed")


_REFUSED_TAGS: Final = dict.fromkeys(range(REFUSED_TAG_COUNT), _refuse_tag)
_SCALARS: Final[dict[Any, Decoder]] = {
    str: _decode_text,
    bytes: _decode_bytes,
    bool: _decode_bool,
    int: _decode_int,
    float: _decode_float,
}
