"""Tests that datagrams of earlier builds are still read."""

from __future__ import annotations

import pytest

from gypsumsail.core import cbor
from gypsumsail.gateway.part_suspects import PartAnswered, PartCrash
from gypsumsail.gossip.messages import (
    CrashReport,
    crash_row,
    decode,
    parse_crash_updates,
)
from gypsumsail.gossip.zone_reports import is_report, parse_report

# Recorded from the build f969c79, the last one without notices of targets.
MESSAGE = bytes.fromhex(
    "91026276326831302e302e302e32627a311b0000019ae646f00007818266636f6e6669670c8186"
    "62653101021923e6190686f48185626531016173816468656164811909c4818361666265310181"
    "8262653101818462653101626d300282606831302e302e302e3381856b31302e302e302e393a38"
    "3001030481836173617010818467656e67696e65730118fa185a818262653201818262653301"
)
REPORT = bytes.fromhex(
    "8e036276326831302e302e302e32627a311b0000019ae646f0000300818266636f6e6669670c81"
    "866265310104190384186402818467656e67696e65730219012c1832808080818262653201"
)


def test_message_of_the_build_without_notices_is_read() -> None:
    message = decode(MESSAGE)
    assert (message.vm, message.sequence_number) == ("v2", 7)
    assert message.loads[0].pending_prefill_tokens == 1_670
    assert message.hosts == ("", "10.0.0.3")
    assert message.removed[0].target == "e3"


def test_report_of_the_build_without_notices_is_read() -> None:
    value = cbor.load(REPORT)
    assert is_report(value)
    assert parse_report(value).loads[0].stalled_vms == 2


def test_crash_rows_of_parts_have_the_columns_that_older_builds_read() -> None:
    """Builds without parts take the first column for the fingerprint of a request."""
    update = PartCrash(part="5c1e07a2", target="e1", life=9, order=2)
    answered = PartAnswered(part="5c1e07a2", target="e1", life=9)
    assert crash_row(update) == ["part 2 5c1e07a2", "e1", 9]
    assert crash_row(answered) == ["answered 5c1e07a2", "e1", 9]
    rows = [crash_row(update), crash_row(answered), ["a1b2", "e1", 9]]
    assert parse_crash_updates(rows) == (
        update,
        answered,
        CrashReport(fingerprint="a1b2", target="e1", life=9),
    )
    with pytest.raises(cbor.ValueInvalidError):
        parse_crash_updates([["part x 5c1e07a2", "e1", 9]])
