"""Tests that objects written by the previous release can be read.

A change of the encoding would stop the rollouts of a fleet that is updated. The bytes
were written by revision 6b3d19b.
"""

from __future__ import annotations

from gypsumsail.orders.codec import decode_lease, decode_rollout_state
from gypsumsail.orders.models import (
    LatestOrderedVersion,
    LeaseRecord,
    RolloutSlot,
    RolloutState,
)

LEASE = bytes.fromhex("836a656e7472792d312f62370cfb402e000000000000")
RELEASED_LEASE = bytes.fromhex("83600cfb0000000000000000")
ROLLOUT_STATE = bytes.fromhex(
    "82828468656e67696e652d3066636c61696d736a62726573742d68616c6c038468656e67696e"
    "652d3466706f7274616c6b72656e6e65732d68616c6c1a000f4245828266636c61696d730382"
    "66706f7274616c1a000f4245"
)


def test_lease_of_the_previous_release_is_read() -> None:
    assert decode_lease(LEASE) == LeaseRecord(
        holder="entry-1/b7", fence=12, seconds=15.0
    )
    assert decode_lease(RELEASED_LEASE) == LeaseRecord(holder="", fence=12, seconds=0.0)


def test_rollout_state_of_the_previous_release_is_read() -> None:
    assert decode_rollout_state(ROLLOUT_STATE) == RolloutState(
        slots=(
            RolloutSlot(
                target="engine-0",
                service="claims",
                zone="brest-hall",
                document_version=3,
            ),
            RolloutSlot(
                target="engine-4",
                service="portal",
                zone="rennes-hall",
                document_version=1_000_005,
            ),
        ),
        latest_versions=(
            LatestOrderedVersion(service="claims", document_version=3),
            LatestOrderedVersion(service="portal", document_version=1_000_005),
        ),
    )
