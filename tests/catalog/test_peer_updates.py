"""Tests of the updates that VMs fetch from each other."""

from __future__ import annotations

import zlib

import pytest

from gypsumsail.catalog import peer_updates
from gypsumsail.catalog.kind_state import Update
from gypsumsail.catalog.peer_updates import (
    PeerUpdate,
    decode_peer_update,
    encode_peer_update,
)
from gypsumsail.catalog.store_health import StoreOutage
from gypsumsail.core import cbor
from tests.catalog.common import document_spec, listing, stored


def update_of(routes: int) -> PeerUpdate:
    """Return an update with a document of some routes."""
    spec = document_spec()
    spec["routes"] = [
        {**spec["routes"][0], "path_prefix": f"/p{number}/"} for number in range(routes)
    ]
    changed = listing(9, stored("config/main", 9, spec))
    return PeerUpdate(
        update=Update(listing=changed, is_complete=False), outage=StoreOutage.NONE
    )


def test_compressed_update_is_read_back_and_takes_less_of_a_link() -> None:
    update = update_of(50)
    plain, compressed = (
        encode_peer_update(update, is_compressed=flag) for flag in (False, True)
    )
    assert decode_peer_update(plain) == decode_peer_update(compressed) == update
    assert len(compressed) < len(plain) / 3


def test_update_that_is_cut_or_damaged_is_rejected() -> None:
    compressed = encode_peer_update(update_of(50), is_compressed=True)
    for data in (compressed[:-1], compressed[:20], b"\x78\x00\x00", b""):
        with pytest.raises(cbor.ValueInvalidError):
            decode_peer_update(data)


def test_small_message_does_not_become_a_huge_update(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_updates, "MAX_UPDATE_BYTES", 1_000)
    with pytest.raises(cbor.ValueInvalidError):
        decode_peer_update(zlib.compress(bytes(10_000)))
