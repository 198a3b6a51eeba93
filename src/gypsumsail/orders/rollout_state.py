"""Storage of the rollout state in the platform's object API."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.object_api.port import MUST_NOT_EXIST, ObjectApi
from gypsumsail.orders.codec import decode_rollout_state, encode_rollout_state
from gypsumsail.orders.const import ROLLOUT_STATE_KEY
from gypsumsail.orders.models import EMPTY_ROLLOUT_STATE, RolloutState


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRolloutState:
    """A rollout state and the version of its object."""

    version: int
    rollout_state: RolloutState


async def async_read_rollout_state(api: ObjectApi) -> StoredRolloutState:
    """Read the rollout state.

    Raises
    ------
    TransportError
        The object could not be read.
    OrdersCorruptError
        The object can't be decoded.
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
    """Write the rollout state if its object still has the version that was read.

    Before orders are sent the state is written even if it is unchanged: the
    conditional write detects a stale read.

    Raises
    ------
    ConflictError
        Another issuer wrote the object first.
    TransportError
        The write was not confirmed; it may have taken effect.
    """
    await api.async_put(
        ROLLOUT_STATE_KEY,
        encode_rollout_state(rollout_state),
        if_version=before.version,
    )
