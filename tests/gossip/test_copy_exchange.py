"""Tests of what VMs tell each other of their readings of the store."""

from __future__ import annotations

import pytest

from gypsumsail.catalog.freshness import CopyConfirmation
from gypsumsail.core import cbor
from gypsumsail.gossip.copy_messages import (
    CopiesConfirmed,
    encode_confirmed,
    is_confirmed,
    parse_confirmed,
)
from tests.common import ManualClock
from tests.gossip.common import Member, Net


def confirmation(age: float = 0.0) -> CopyConfirmation:
    """Return a reading of the documents."""
    return CopyConfirmation(kind="config", changed_revision=7, age=age)


def test_message_is_read_back() -> None:
    message = CopiesConfirmed(host="10.0.0.1", confirmations=(confirmation(0.25),))
    value = cbor.load(encode_confirmed(message))
    assert is_confirmed(value)
    assert parse_confirmed(value) == message


@pytest.mark.parametrize(
    "rows", [[["config", 7]], [["config", -1, 0]], [[b"config", 7, 0]], "config"]
)
def test_malformed_message_is_rejected(rows: object) -> None:
    with pytest.raises(cbor.ValueInvalidError):
        parse_confirmed([6, "10.0.0.1", rows])


def test_each_reading_is_told_once_to_the_zone() -> None:
    clock = ManualClock()
    net = Net(clock)
    one, two = Member(net, "v1"), Member(net, "v2")
    far = Member(net, "v3", "z2")
    told: dict[str, list[float]] = {"v2": [], "v3": []}
    for member, name in ((two, "v2"), (far, "v3")):
        ages = told[name]
        member.gossip.on_copy_confirmed = lambda item, now, ages=ages: (  # type: ignore[misc]
            ages.append(item.age) or True
        )
    net.tick(1.0)
    read_at = clock.now
    one.gossip.copies.own_readings = lambda now: [confirmation(now - read_at)]
    net.tick(0.5)
    assert told == {"v2": [pytest.approx(0.05, abs=0.01)], "v3": []}


def test_vm_that_lacks_a_change_catches_up_from_the_one_that_tells() -> None:
    clock = ManualClock()
    net = Net(clock)
    one, two = Member(net, "v1"), Member(net, "v2")
    two.reads_store = False
    net.tick(1.0)
    two.gossip.on_copy_confirmed = lambda item, now: False
    one.gossip.copies.own_readings = lambda now: [confirmation(0.0)]
    one.gossip.tick(clock.now)
    peer = two.gossip.peer_to_catch_up_from(clock.now)
    assert peer is not None
    assert peer.vm == "v1"
