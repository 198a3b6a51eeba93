"""Tests of the lag of documents and its alarms."""

from __future__ import annotations

from gypsumsail.documents.const import LAG_LIMIT_SECONDS, LAG_STALLED_SECONDS
from gypsumsail.documents.lag import LagMonitor
from gypsumsail.documents.models import AlarmKind
from tests.documents.common import SERVICE


def _kinds(monitor: LagMonitor, now: float) -> set[AlarmKind]:
    return {alarm.kind for alarm in monitor.alarms(now)}


def test_stalled_lag_raises_an_alarm_before_a_large_lag() -> None:
    monitor = LagMonitor()
    monitor.confirm(0.0)
    monitor.record_in_force(SERVICE, 1, now=0.0)
    monitor.record_known(SERVICE, 5, now=0.0)
    assert not _kinds(monitor, LAG_STALLED_SECONDS)
    stalled = LAG_STALLED_SECONDS + 0.1
    assert _kinds(monitor, stalled) == {AlarmKind.NOT_SHRINKING}
    late = LAG_LIMIT_SECONDS + 0.1
    assert _kinds(monitor, late) == {AlarmKind.NOT_SHRINKING, AlarmKind.LARGE}
    monitor.record_in_force(SERVICE, 5, now=late)
    assert not _kinds(monitor, late)


def test_decreasing_lag_raises_only_the_large_alarm() -> None:
    monitor = LagMonitor()
    monitor.confirm(0.0)
    monitor.record_known(SERVICE, 10, now=0.0)
    for version in range(1, 9):
        monitor.record_in_force(SERVICE, version, now=float(version))
        assert AlarmKind.NOT_SHRINKING not in _kinds(monitor, float(version))
    assert _kinds(monitor, 8.0) == {AlarmKind.LARGE}
    assert monitor.lags(8.0)[0].behind_seconds == 8.0


def test_unconfirmed_platform_raises_an_alarm() -> None:
    monitor = LagMonitor()
    assert _kinds(monitor, 0.0) == {AlarmKind.UNCONFIRMED}
    monitor.confirm(1.0)
    monitor.confirm(0.5)
    assert monitor.unconfirmed_seconds(2.0) == 1.0
    assert _kinds(monitor, 100.0) == {AlarmKind.UNCONFIRMED}
