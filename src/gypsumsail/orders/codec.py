"""Encoding of the lease and of the rollout state."""

from __future__ import annotations

from typing import Final

import cbor2

from gypsumsail.core import cbor
from gypsumsail.orders.errors import OrdersCorruptError
from gypsumsail.orders.models import (
    LatestOrderedVersion,
    LeaseRecord,
    RolloutSlot,
    RolloutState,
)

LEASE_FIELD_COUNT: Final = 3
ROLLOUT_STATE_FIELD_COUNT: Final = 2
SLOT_FIELD_COUNT: Final = 4
LATEST_VERSION_FIELD_COUNT: Final = 2


def encode_lease(lease: LeaseRecord) -> bytes:
    """Encode a lease as CBOR."""
    return cbor2.dumps([lease.holder, lease.fence, lease.seconds])


def decode_lease(value: bytes) -> LeaseRecord:
    """Decode a lease.

    Raises
    ------
    OrdersCorruptError
        The value is not a valid lease.
    """
    try:
        holder, fence, seconds = cbor.read_list(cbor.load(value), LEASE_FIELD_COUNT)
        return LeaseRecord(
            holder=cbor.read_string(holder),
            fence=cbor.read_unsigned(fence),
            seconds=cbor.read_seconds(seconds),
        )
    except cbor.ValueInvalidError as err:
        raise OrdersCorruptError(f"lease can't be decoded: {err}") from err


def encode_rollout_state(rollout_state: RolloutState) -> bytes:
    """Encode a rollout state as CBOR."""
    slots = [
        [slot.target, slot.service, slot.zone, slot.document_version]
        for slot in rollout_state.slots
    ]
    latest_versions = [
        [item.service, item.document_version] for item in rollout_state.latest_versions
    ]
    return cbor2.dumps([slots, latest_versions])


def decode_rollout_state(value: bytes) -> RolloutState:
    """Decode a rollout state.

    Raises
    ------
    OrdersCorruptError
        The value is not a valid rollout state.
    """
    try:
        slots, latest_versions = cbor.read_list(
            cbor.load(value), ROLLOUT_STATE_FIELD_COUNT
        )
        return RolloutState(
            slots=tuple(map(_decode_slot, cbor.read_list(slots))),
            latest_versions=tuple(
                map(_decode_latest_version, cbor.read_list(latest_versions))
            ),
        )
    except cbor.ValueInvalidError as err:
        raise OrdersCorruptError(f"rollout state can't be decoded: {err}") from err


def _decode_slot(value: object) -> RolloutSlot:
    target, service, zone, version = cbor.read_list(value, SLOT_FIELD_COUNT)
    return RolloutSlot(
        target=cbor.read_string(target),
        service=cbor.read_string(service),
        zone=cbor.read_string(zone),
        document_version=cbor.read_unsigned(version),
    )


def _decode_latest_version(value: object) -> LatestOrderedVersion:
    service, version = cbor.read_list(value, LATEST_VERSION_FIELD_COUNT)
    return LatestOrderedVersion(
        service=cbor.read_string(service), document_version=cbor.read_unsigned(version)
    )
