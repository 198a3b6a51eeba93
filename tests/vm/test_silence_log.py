"""Tests of the lines on VMs that fall silent."""

from __future__ import annotations

from gypsumsail.gossip.peers import PeerTable
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.vm.silence_log import SilenceLog
from tests.common import ManualClock
from tests.gossip.common import message


def test_vms_that_change_together_are_in_one_line() -> None:
    clock = ManualClock()
    log = DecisionLog(clock)
    lines: list[tuple[str, dict[str, object]]] = []
    log.write = lambda event, **fields: lines.append((event, fields))  # type: ignore[method-assign]
    peers = PeerTable("v1", "10.0.0.1", "z1")
    silence_log = SilenceLog(peers, log)
    silence_log.tick(clock.now)
    for vm in ("v2", "v3"):
        peers.record_message(message(vm), clock.now)
    silence_log.tick(clock.now + 0.2)
    silence_log.tick(clock.now + 0.3)
    silence_log.tick(clock.now + 4.0)
    assert lines == [
        ("VMs heard", {"vms": ["v2", "v3"], "count": 2, "alive": 3}),
        ("VMs silent", {"vms": ["v2", "v3"], "count": 2, "alive": 1}),
    ]
