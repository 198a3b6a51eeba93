"""Tests of the text output of the ``status`` command."""

from __future__ import annotations

from dataclasses import replace

from gypsumsail.cli.status import StatusResult, _lines
from gypsumsail.entry.operator_models import EntryState, EntryStatus

STATUS = EntryStatus(
    entry="entry-1",
    incarnation="1",
    zone="brest-hall",
    build="0.1.0",
    state=EntryState.READY,
    uptime_seconds=60.0,
    requests=0,
    platform_age_seconds=20.0,
)


def test_alarm_is_printed_with_its_entry() -> None:
    alarmed = replace(STATUS, alarms=("all documents: lag unconfirmed, 20.0 s",))
    lines = _lines(StatusResult(entries=(alarmed,), unreachable={}))
    assert "ALARM entry-1: all documents: lag unconfirmed, 20.0 s" in lines
