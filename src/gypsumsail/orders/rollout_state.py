"""The book of turns in the platform's object API."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.object_api.port import MUST_NOT_EXIST, ObjectApi
from gypsumsail.orders.codec import decode_rollout_state, encode_rollout_state
from gypsumsail.orders.const import ROLLOUT_STATE_KEY
from gypsumsail.orders.models import EMPTY_ROLLOUT_STATE, RolloutState


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRolloutState:
    """A book of turns and the version of its object."""

    version: int
    rollout_state: RolloutState


async def async_read_rollout_state(api: ObjectApi) -> StoredRolloutState:
    """Read the book.

    Raises
    ------
    TransportError
        It could not be read.
    OrdersCorruptError
        It can't be decoded.
    """
    found = await api.async_get(ROLLOUT_STATE_KEY)
    if found is None or found.value is None:
        return StoredRolloutState(
            version=MUST_NOT_EXIST, rollout_state=EMPTY_ROLLOUT_STATE
        )
    return StoredRolloutState(
        version=found.version, rollout_state=decode_rollout_state(found.value)
    )


async def async_write_rollout_state(
    api: ObjectApi, before: StoredRolloutState, rollout_state: RolloutState
) -> None:
    """Write the book when it is still as it was read.

    Before orders it is written also unchanged: the read may have been stale.

    Raises
    ------
    ConflictError
        Another issuer wrote first.
    TransportError
        It isn't known whether the book was written.
    """
    await api.async_put(
        ROLLOUT_STATE_KEY,
        encode_rollout_state(rollout_state),
        if_version=before.version,
    )
