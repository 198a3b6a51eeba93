"""Copies of a kind that VMs give each other, as CBOR."""

from __future__ import annotations

from dataclasses import dataclass

import cbor2

from gypsumsail.catalog.kind_state import Update
from gypsumsail.catalog.store_link import StoreTrouble
from gypsumsail.core import cbor
from gypsumsail.object_api.port import Listing, PlatformObject

COPY_PATH = "/peer/copies/"
COPY_FIELDS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Copy:
    """What a VM knows of a kind beyond another one.

    Attributes
    ----------
    trouble
        How the store has been for the VM that gives the copy.
    """

    update: Update
    trouble: StoreTrouble


def encode_copy(copy: Copy) -> bytes:
    """Encode a copy."""
    listing = copy.update.listing
    objects = [[found.key, found.version, found.value] for found in listing.objects]
    fields = [listing.revision, copy.update.is_complete, int(copy.trouble), objects]
    return cbor2.dumps(fields)


def decode_copy(data: bytes) -> Copy:
    """Decode a copy; raise ``ValueInvalidError``."""
    fields = cbor.read_list(cbor.load(data), COPY_FIELDS)
    revision, is_complete, trouble, objects = fields
    if not isinstance(is_complete, bool):
        raise cbor.ValueInvalidError("not a truth value")
    number = cbor.read_count(trouble)
    if number not in list(StoreTrouble):
        raise cbor.ValueInvalidError("not a state of the store")
    listing = Listing(
        objects=tuple(map(_object, cbor.read_list(objects))),
        revision=cbor.read_count(revision),
    )
    update = Update(listing=listing, is_complete=is_complete)
    return Copy(update=update, trouble=StoreTrouble(number))


def _object(value: object) -> PlatformObject:
    key, version, content = cbor.read_list(value, 3)
    return PlatformObject(
        key=cbor.read_text(key),
        version=cbor.read_count(version),
        value=None if content is None else cbor.read_bytes(content),
    )
