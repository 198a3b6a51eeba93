"""Tests of what a VM knows of the builds that began streams."""

from __future__ import annotations

from gypsumsail.gateway.stream_builds import (
    MAX_NOTE_GAP_SECONDS,
    MAX_RETURN_SECONDS,
    MAX_STREAMS,
    NOTE_INTERVAL_SECONDS,
    StreamBegin,
    StreamBuilds,
)
from tests.gateway.common import ENGINES, engine

RETURN_SECONDS = 5.0
V1 = engine("e1", build="v1")
V2 = engine("e2", build="v2")
UNNAMED = engine("e3")


def builds(*entries: object, seconds: float = RETURN_SECONDS) -> StreamBuilds:
    """Return the builds after some seconds with listed targets."""
    found = StreamBuilds(0.0)
    found.return_seconds = RETURN_SECONDS
    note(found, *entries, since=0.0, until=seconds)
    return found


def note(found: StreamBuilds, *entries: object, since: float, until: float) -> None:
    """Note listed targets for some time."""
    steps = round((until - since) / NOTE_INTERVAL_SECONDS)
    for step in range(steps + 1):
        found.note_targets(entries, since + step * NOTE_INTERVAL_SECONDS)  # type: ignore[arg-type]


def begin(stream: str = "s1", build: str = "v1") -> StreamBegin:
    """Return a begin of a stream."""
    return StreamBegin(stream=stream, service=ENGINES, build=build)


def test_only_build_began_every_stream() -> None:
    assert builds(V1).sole_build(ENGINES, RETURN_SECONDS) == "v1"


def test_started_vm_does_not_know_which_builds_served_before() -> None:
    found = builds(V1, seconds=RETURN_SECONDS - 1.0)
    assert found.sole_build(ENGINES, RETURN_SECONDS - 1.0) is None


def test_vm_that_was_suspended_does_not_know_which_builds_served() -> None:
    found = builds(V1)
    now = RETURN_SECONDS + MAX_NOTE_GAP_SECONDS + 1.0
    found.note_targets([V1], now)
    assert found.sole_build(ENGINES, now) is None
    note(found, V1, since=now, until=now + RETURN_SECONDS)
    assert found.sole_build(ENGINES, now + RETURN_SECONDS) == "v1"


def test_build_that_has_left_counts_until_its_streams_are_over() -> None:
    found = builds(V1, V2)
    end = RETURN_SECONDS * 2 + NOTE_INTERVAL_SECONDS
    note(found, V2, since=RETURN_SECONDS, until=end)
    assert found.sole_build(ENGINES, end) is None
    note(found, V2, since=end, until=end + NOTE_INTERVAL_SECONDS)
    assert found.sole_build(ENGINES, end + NOTE_INTERVAL_SECONDS) == "v2"


def test_build_that_another_vm_names_counts_before_it_is_listed() -> None:
    found = builds(V1)
    found.record(begin(build="v2"), RETURN_SECONDS, is_own=False)
    assert found.is_mixed(ENGINES, RETURN_SECONDS)
    assert found.sole_build(ENGINES, RETURN_SECONDS) is None


def test_first_begin_of_a_stream_counts_until_it_expires() -> None:
    found = builds(V1, V2)
    found.record(begin(build="v1"), RETURN_SECONDS, is_own=True)
    found.record(begin(build="v2"), RETURN_SECONDS, is_own=False)
    assert found.find("s1", RETURN_SECONDS + 1.0) == "v1"
    assert found.find("s1", RETURN_SECONDS * 2) is None
    assert found.find("s2", RETURN_SECONDS) is None


def test_target_without_a_named_build_is_one_of_its_own_beside_others() -> None:
    alone = builds(UNNAMED)
    assert alone.build_of(UNNAMED, RETURN_SECONDS) == ""
    mixed = builds(UNNAMED, V1)
    assert mixed.build_of(UNNAMED, RETURN_SECONDS) == "e3/1"
    restarted = engine("e3", life=2)
    assert mixed.build_of(restarted, RETURN_SECONDS) == "e3/2"
    assert mixed.build_of(V1, RETURN_SECONDS) == "v1"


def test_own_begins_are_those_that_may_still_be_taken_up() -> None:
    found = builds(V1)
    found.record(begin("s1"), 0.0, is_own=True)
    found.record(begin("s2"), 3.0, is_own=True)
    found.record(begin("s3"), 3.0, is_own=False)
    assert [item.stream for item in found.own_begins(ENGINES, 6.0)] == ["s2"]


def test_streams_of_an_earlier_document_may_still_be_taken_up() -> None:
    found = builds(V1)
    found.note_return(12.0)
    found.note_return(1.0)
    assert found.return_seconds == 12.0
    found.note_return(86_400.0)
    assert found.return_seconds == MAX_RETURN_SECONDS


def test_memory_is_bounded() -> None:
    found = builds(V1)
    for number in range(MAX_STREAMS + 10):
        found.record(begin(f"s{number}"), 1.0, is_own=False)
    assert len(found.records) == MAX_STREAMS
    found.note_targets([V1], 1.0 + RETURN_SECONDS + 1.0)
    assert not found.records


def test_vm_without_a_document_names_no_only_build() -> None:
    """It doesn't know for how long streams are taken up."""
    found = StreamBuilds(0.0)
    note(found, V1, since=0.0, until=RETURN_SECONDS)
    assert found.sole_build(ENGINES, RETURN_SECONDS) is None
    found.note_return(RETURN_SECONDS)
    assert found.sole_build(ENGINES, RETURN_SECONDS) == "v1"


def test_vm_that_lists_no_targets_yet_observes_none() -> None:
    found = StreamBuilds(0.0)
    found.note_return(RETURN_SECONDS)
    for step in range(20):
        found.note_targets([], step * NOTE_INTERVAL_SECONDS, are_listed=False)
    listed_at = 20 * NOTE_INTERVAL_SECONDS
    note(found, V2, since=listed_at, until=listed_at + RETURN_SECONDS - 1.0)
    assert found.sole_build(ENGINES, listed_at + RETURN_SECONDS - 1.0) is None
