"""CBOR encoding of the updates that VMs fetch from each other.

All VMs of a zone fetch a change from the few VMs that have it first, whose links may be
narrow. They therefore ask for compressed updates; earlier builds don't, and send none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final
import zlib

import cbor2

from gypsumsail.catalog.kind_state import Update
from gypsumsail.catalog.store_health import StoreOutage
from gypsumsail.core import cbor
from gypsumsail.object_api.port import Listing, PlatformObject

PEER_UPDATE_PATH = "/peer/copies/"
PEER_UPDATE_FIELDS = 4
COMPRESSED_FLAG: Final = "deflate"
"""Query parameter of a VM that reads compressed updates."""
COMPRESSION_LEVEL: Final = 1
MAX_UPDATE_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of an update that is not compressed."""
_ZLIB_FIRST_BYTE: Final = 0x78
"""First byte of a compressed update; an update in CBOR begins with an array."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerUpdate:
    """Changes of a kind that one VM has and another one lacks.

    Attributes
    ----------
    outage
        Outage state of the store at the VM that sends the update.
    """

    update: Update
    outage: StoreOutage


def encode_peer_update(
    peer_update: PeerUpdate, *, is_compressed: bool = False
) -> bytes:
    """Encode an update."""
    listing = peer_update.update.listing
    objects = [[obj.key, obj.version, obj.value] for obj in listing.objects]
    fields = [
        listing.revision,
        peer_update.update.is_complete,
        int(peer_update.outage),
        objects,
    ]
    data = cbor2.dumps(fields)
    return zlib.compress(data, COMPRESSION_LEVEL) if is_compressed else data


def _decompress(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        found = stream.decompress(data, MAX_UPDATE_BYTES)
    except zlib.error as err:
        raise cbor.ValueInvalidError("the update can't be decompressed") from err
    if not stream.eof:
        raise cbor.ValueInvalidError("the update is too large or incomplete")
    return found


def decode_peer_update(data: bytes) -> PeerUpdate:
    """Decode an update, compressed or not; raises ``ValueInvalidError``."""
    if data[:1] == bytes([_ZLIB_FIRST_BYTE]):
        data = _decompress(data)
    fields = cbor.read_list(cbor.load(data), PEER_UPDATE_FIELDS)
    revision, is_complete, outage, objects = fields
    if not isinstance(is_complete, bool):
        raise cbor.ValueInvalidError("is_complete is not a boolean")
    number = cbor.read_unsigned(outage)
    if number not in list(StoreOutage):
        raise cbor.ValueInvalidError("unknown outage state of the store")
    listing = Listing(
        objects=tuple(map(_object, cbor.read_list(objects))),
        revision=cbor.read_unsigned(revision),
    )
    update = Update(listing=listing, is_complete=is_complete)
    return PeerUpdate(update=update, outage=StoreOutage(number))


def _object(value: object) -> PlatformObject:
    key, version, content = cbor.read_list(value, 3)
    return PlatformObject(
        key=cbor.read_string(key),
        version=cbor.read_unsigned(version),
        value=None if content is None else cbor.read_bytes(content),
    )
