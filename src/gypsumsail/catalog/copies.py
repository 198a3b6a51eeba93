"""Copies of a kind that VMs give each other, as CBOR."""

from __future__ import annotations

import cbor2

from gypsumsail.core import cbor
from gypsumsail.object_api.port import Listing, PlatformObject

COPY_PATH = "/peer/copies/"


def encode_copy(listing: Listing) -> bytes:
    """Encode the copy of a kind."""
    objects = [[found.key, found.version, found.value] for found in listing.objects]
    return cbor2.dumps([listing.revision, objects])


def decode_copy(data: bytes) -> Listing:
    """Decode the copy of a kind; raise ``ValueInvalidError``."""
    revision, objects = cbor.read_list(cbor.load(data), 2)
    return Listing(
        objects=tuple(map(_object, cbor.read_list(objects))),
        revision=cbor.read_count(revision),
    )


def _object(value: object) -> PlatformObject:
    key, version, content = cbor.read_list(value, 3)
    return PlatformObject(
        key=cbor.read_text(key),
        version=cbor.read_count(version),
        value=cbor.read_bytes(content),
    )
