"""Tests that a datagram that arrives late does not replace what is newer."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from gypsumsail.gossip.const import ALIVE_TIMEOUT_SECONDS
from gypsumsail.gossip.messages import GossipMessage
from gypsumsail.gossip.peers import PeerTable
from tests.gossip.common import message

NOW: Final = 1_000.0
OLD_START_MS: Final = 1_000
NEW_START_MS: Final = 2_000


def sent(started_at_ms: int, number: int) -> GossipMessage:
    """Return a message of one life of the VM v2."""
    return replace(message("v2", number), started_at_ms=started_at_ms)


def test_late_datagram_of_an_ended_life_does_not_silence_a_vm() -> None:
    """All later messages of the VM were taken for those of an earlier life."""
    table = PeerTable("v1", "10.0.0.1", "z1")
    assert table.record_message(sent(NEW_START_MS, 1), NOW)
    table.record_message(sent(OLD_START_MS, 50), NOW + 0.1)
    later = NOW + 0.1 + ALIVE_TIMEOUT_SECONDS
    assert table.record_message(sent(NEW_START_MS, 40), later)
    assert table.record_message(sent(NEW_START_MS, 41), later + 0.1)
    assert not table.record_message(sent(OLD_START_MS, 51), later + 0.2)


def test_late_datagram_of_the_life_before_is_left_out() -> None:
    table = PeerTable("v1", "10.0.0.1", "z1")
    assert table.record_message(sent(OLD_START_MS, 50), NOW)
    assert table.record_message(sent(NEW_START_MS, 1), NOW + 1.0)
    for number in (50, 51):
        late = sent(OLD_START_MS, number)
        assert not table.record_message(late, NOW + 1.5)
    assert not table.record_message(sent(NEW_START_MS, 1), NOW + 1.6)
    assert table.record_message(sent(NEW_START_MS, 2), NOW + 1.7)
