"""Checks of texts that others write, before the gateway uses them."""

from __future__ import annotations

from typing import Annotated, Any, Final

import msgspec

from gypsumsail.core.ip import is_ip
from gypsumsail.gateway.models import Address

MAX_NAME_LENGTH: Final = 256
"""Maximum length of a name; names are part of datagrams between VMs."""
MAX_SMALL_VALUE_BYTES: Final = 64 * 1024
"""Maximum size of a value whose kind has small ones only; a target's has 1 KB.

All values of a kind are kept in memory, passed on to other VMs, and decoded whenever
they change, so larger ones are left out before that.
"""
MAX_NUMBER: Final = 2**53
"""Largest whole number that all codecs keep exactly."""
MAX_MILLISECONDS: Final = 1e9
"""Longest time that another writer may state."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_MILLISECONDS)]

NO_REGION: Final = frozenset({""})
"""Set of a region that no zone has."""

MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5


def parse_address(text: object) -> Address | None:
    """Parse an address of the form IP:PORT; return ``None`` if it is malformed."""
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(":")
    if not is_ip(host) or not port.isascii() or not port.isdigit():
        return None
    if len(port) > MAX_PORT_DIGITS or not 0 < int(port) <= MAX_PORT:
        return None
    return Address(host=host, port=int(port))


def parse_home_regions(value: Any) -> frozenset[str]:
    """Return the home regions; a value that can't be read allows no region."""
    if value is None or value == []:
        return frozenset()
    try:
        return frozenset(msgspec.convert(value, list[Name]))
    except msgspec.ValidationError:
        return NO_REGION
