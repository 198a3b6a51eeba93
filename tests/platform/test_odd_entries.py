"""Tests that an entry which can't be used costs itself alone."""

from __future__ import annotations

import json
import logging
import tracemalloc

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumsail.catalog.kind_state import KindState
from gypsumsail.catalog.peer_updates import PeerUpdate, encode_peer_update
from gypsumsail.catalog.store_health import StoreOutage
from gypsumsail.core.errors import TransportError
from gypsumsail.platform.app import PlatformDecoder
from gypsumsail.platform.documents import EntryInvalidError
from gypsumsail.platform.store_answers import StoreAnswers
from gypsumsail.platform.text import MAX_NAME_LENGTH
from tests.catalog.common import KINDS, Catalog, target_spec
from tests.fuzzing import fuzz_settings
from tests.platform.test_objects import http_response, serve_objects

KIND = KINDS.targets
GOOD = json.dumps(target_spec()).encode()
DEEP = b"[" * 100_000 + b"]" * 100_000
DIGITS = b"9" * 5_000


def entry(name: bytes, spec: bytes, rev: bytes = b"5") -> bytes:
    """Return an entry as the store sends it."""
    return (
        b'{"metadata":{"name":' + name + b',"rev":' + rev + b'},"spec":' + spec + b"}"
    )


def spec(**changes: bytes) -> bytes:
    """Return a target's entry in which some fields hold other JSON."""
    fields = {key: json.dumps(value).encode() for key, value in target_spec().items()}
    fields |= changes
    members = [b'"%s":%s' % (key.encode(), value) for key, value in fields.items()]
    return b"{" + b",".join(members) + b"}"


ODD_SPECS = {
    "half a surrogate pair": spec(zone=rb'"Rennes \ud83d"'),
    "bytes that are no text": spec(zone=b'"\xff\xfe"'),
    "a control character": spec(zone=b'"a\x01"'),
    "deeply nested": spec(zone=DEEP),
    "deeply nested in a field that is not known": spec(other=DEEP),
    "a number with thousands of digits": spec(born=DIGITS),
    "a number that no message can hold": spec(born=b"9" * 400),
    "a number out of range": spec(slots=b"1e999"),
    "not a number": spec(slots=b"NaN"),
    "a port out of range": spec(addr=b'"10.0.0.1:65536"'),
    "a port with an odd digit": spec(addr='"10.0.0.1:8²"'.encode()),
    "a port with thousands of digits": spec(addr=b'"10.0.0.1:' + DIGITS + b'"'),
    "a host that is a name": spec(addr=b'"engine.example:80"'),
    "a host that is no name": spec(addr=b'"' + b"a" * 200 + b':80"'),
    "a wrong type": spec(service=b"7"),
    "a text of a megabyte": spec(service=b'"' + b"a" * 1_000_000 + b'"'),
    "an unknown state": spec(state=b'"flying"'),
    "no object": b"7",
    "nothing": b"null",
}
UNREADABLE = {
    "half a surrogate pair in the name": entry(rb'"x\ud83d"', GOOD),
    "an empty name": entry(b'""', GOOD),
    "a name of a megabyte": entry(b'"' + b"a" * 1_000_000 + b'"', GOOD),
    "a name that is a number": entry(b"7", GOOD),
    "a revision with hundreds of digits": entry(b'"x"', GOOD, rev=b"9" * 400),
    "a negative revision": entry(b'"x"', GOOD, rev=b"-1"),
    "a text": b'"hello, [x"',
    "nested lists": DEEP,
}
LARGE_SPECS = {
    "a text with countless commas": [spec(models=b'"' + b"0," * 510_000 + b'"')],
    "several with many commas": [spec(models=b'"' + b"0," * 60_000 + b'"')] * 12,
    "a text with countless brackets": [spec(models=b'"' + b"[," * 500_000 + b'"')],
    "a list of numbers": [spec(models=b"[" + b"0," * 510_000 + b"0]")],
    "nested lists": [spec(models=b"[" + b"[[0]]," * 170_000 + b"0]")],
    "unreadable nested lists": [
        spec(zone=b'"\x01"', models=b"[" + b"[[],0]," * 140_000 + b"0]")
    ],
    "a text in a field that is not known": [spec(other=b'"' + b"0," * 510_000 + b'"')],
}
"""Entries of which each is as large as an object may be, or all are together."""


def page(*entries: bytes) -> bytes:
    """Return a page of a listing."""
    items = b", ".join(entries)
    return b'{"items":[' + items + b'],"has_more":false,"store_revision":9}'


def listed(data: bytes) -> set[str]:
    """Return the targets that a listing leads to, next to two sound ones."""
    catalog = Catalog()
    found = StoreAnswers().listing(KIND, data, 0)
    watch = catalog.coordinator.watches[KIND]
    changes = watch.state.replace(found.as_listing())
    watch.on_changes(KIND, changes)
    return set(catalog.targets.states)


@pytest.mark.parametrize("odd", ODD_SPECS.values(), ids=ODD_SPECS.keys())
def test_odd_entry_costs_no_other_entry_of_a_listing(odd: bytes) -> None:
    data = page(entry(b'"a"', GOOD), entry(b'"odd"', odd), entry(b'"b"', GOOD))
    assert listed(data) == {"a", "b"}


@pytest.mark.parametrize("odd", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_entry_without_a_readable_name_costs_no_other_entry(odd: bytes) -> None:
    assert listed(page(entry(b'"a"', GOOD), odd, entry(b'"b"', GOOD))) == {"a", "b"}


@pytest.mark.parametrize(
    "odd", [*ODD_SPECS.values(), *UNREADABLE.values()], ids=lambda odd: odd[:60]
)
def test_odd_entry_costs_no_other_event_of_a_watch(odd: bytes) -> None:
    """DRAIN (review/4): after such an entry no change of the list was taken."""
    answers = StoreAnswers()
    good = entry(b'"a"', GOOD)
    is_entry = odd in UNREADABLE.values()
    odd_entry = odd if is_entry else entry(b'"odd"', odd)
    events = [b'{"deleted":false,"object":' + x + b"}" for x in (odd_entry, good)]
    data = b'{"events":[' + b",".join(events) + b'],"store_revision":9}'
    found = answers.watch(KIND, data, 0)
    assert found.objects[-1].key == f"{KIND}/a"
    assert found.objects[-1].value == GOOD
    assert answers.left_out == (1 if is_entry else 0)


@pytest.mark.parametrize(
    "odd", [b"1e999", b"NaN", b"-Infinity", b"-1", b'"7"', b"null", b"1e300", DEEP]
)
def test_cold_time_that_can_not_be_read_is_unknown(odd: bytes) -> None:
    """The target must neither be lost nor count as warm; the next entry is read."""
    value = spec(cold_left_ms=odd)
    if odd != DEEP:
        assert PlatformDecoder().target("a", value).cold_seconds is None
    found = listed(page(entry(b'"a"', GOOD), entry(b'"odd"', value)))
    assert found == ({"a"} if odd == DEEP else {"a", "odd"})


def large_entries(specs: list[bytes]) -> list[bytes]:
    return [entry(b'"odd%d"' % number, value) for number, value in enumerate(specs)]


@pytest.mark.parametrize("specs", LARGE_SPECS.values(), ids=LARGE_SPECS.keys())
def test_large_entries_cost_no_other_entry_of_a_listing(specs: list[bytes]) -> None:
    """RECOVER (review/11): a VM that started beside such an entry found no target."""
    first, *others = large_entries(specs)
    data = page(first, entry(b'"a"', GOOD), *others, entry(b'"b"', GOOD))
    assert listed(data) == {"a", "b"}


@pytest.mark.parametrize("specs", LARGE_SPECS.values(), ids=LARGE_SPECS.keys())
def test_large_entries_cost_no_other_event_of_a_watch(specs: list[bytes]) -> None:
    """RECOVER (review/11): a running VM took no change of the list any more."""
    entries = [*large_entries(specs), entry(b'"a"', GOOD)]
    events = [b'{"deleted":false,"object":' + item + b"}" for item in entries]
    data = b'{"events":[' + b",".join(events) + b'],"store_revision":9}'
    found = StoreAnswers().watch(KIND, data, 0)
    assert [item.value for item in found.objects] == [b""] * len(specs) + [GOOD]


def test_large_entries_are_not_kept_for_other_vms() -> None:
    """Other VMs reject an update that is too large, and would lack all targets."""
    specs = LARGE_SPECS["a text with countless commas"] * 20
    state = KindState()
    listing = StoreAnswers().listing(KIND, page(*large_entries(specs)), 0)
    state.replace(listing.as_listing())
    update = PeerUpdate(update=state.update_since(0), outage=StoreOutage.NONE)
    assert len(encode_peer_update(update)) < 4_096
    assert len(state.objects) == len(specs)


def test_large_value_that_another_vm_passes_on_is_not_decoded() -> None:
    """Builds before the limit keep large values and pass them on."""
    value = LARGE_SPECS["a list of numbers"][0]
    with pytest.raises(EntryInvalidError, match=str(len(value))):
        PlatformDecoder().target("a", value)


def test_countless_parts_take_little_memory() -> None:
    """A page is split by its entries, not by the commas in their texts and lists."""
    (odd,) = large_entries(LARGE_SPECS["a list of numbers"])
    data = page(odd, entry(b'"a"', GOOD))
    tracemalloc.start()
    try:
        found = StoreAnswers().listing(KIND, data, 0)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert found.objects[-1].value == GOOD
    assert peak < 3 * len(data)


def test_large_routing_document_is_read() -> None:
    document = b'{"routes":"' + b"0," * 510_000 + b'"}'
    for name, value in ((b'"main"', document), (b'"other"', b"")):
        data = page(entry(name, document))
        (found,) = StoreAnswers().listing(KINDS.documents, data, 0).objects
        assert found.value == value


def test_large_entry_is_logged_once_although_it_is_written_again(
    caplog: pytest.LogCaptureFixture,
) -> None:
    answers = StoreAnswers()
    catalog = Catalog()
    watch = catalog.coordinator.watches[KIND]
    decisions = catalog.coordinator.telemetry.log.logger
    decisions.addHandler(caplog.handler)
    with caplog.at_level(logging.INFO, decisions.name):
        for revision in range(5, 8):
            value = spec(models=b'"' + b"0," * 60_000 + b'"', slots=b"%d" % revision)
            data = page(entry(b'"odd"', value, rev=b"%d" % revision))
            data = data.replace(b":9}", b":%d}" % revision)
            listing = answers.listing(KIND, data, 0).as_listing()
            watch.on_changes(KIND, watch.state.replace(listing))
    decisions.removeHandler(caplog.handler)
    by_answers, by_catalog = caplog.records
    assert "odd" in by_answers.message
    assert str(len(value)) in by_answers.message
    assert by_catalog.message == "object left out"
    assert catalog.coordinator.objects_left_out == 3


def test_target_whose_entry_becomes_odd_is_not_used_any_more() -> None:
    catalog = Catalog()
    for revision, value in ((5, GOOD), (6, ODD_SPECS["deeply nested"])):
        data = page(entry(b'"a"', value, rev=b"%d" % revision))
        watch = catalog.coordinator.watches[KIND]
        found = StoreAnswers().listing(KIND, data, 0)
        watch.on_changes(KIND, watch.state.replace(found.as_listing()))
    assert not catalog.targets.states
    assert catalog.coordinator.objects_left_out == 1


def test_unreadable_entry_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    answers = StoreAnswers()
    data = page(UNREADABLE["half a surrogate pair in the name"])
    with caplog.at_level(logging.WARNING):
        answers.listing(KIND, data, 0)
        answers.listing(KIND, data, 0)
    assert len(caplog.records) == 1
    assert answers.left_out == 2


async def test_pages_go_on_after_an_unreadable_entry() -> None:
    first = (
        b'{"items":['
        + entry(b'"a"', GOOD)
        + b","
        + UNREADABLE["half a surrogate pair in the name"]
        + b'],"has_more":true,"store_revision":9}'
    )
    async with serve_objects(
        http_response(first), http_response(page(entry(b'"b"', GOOD)))
    ) as objects:
        listing = await objects.async_list(KIND)
    assert [item.key for item in listing.objects] == [f"{KIND}/a", f"{KIND}/b"]


async def test_pages_that_can_not_be_continued_are_an_error() -> None:
    odd = UNREADABLE["half a surrogate pair in the name"]
    data = b'{"items":[' + odd + b'],"has_more":true,"store_revision":9}'
    async with serve_objects(http_response(data)) as objects:
        with pytest.raises(TransportError):
            await objects.async_list(KIND)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=[]), max_size=20),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=12,
)
TARGET_FIELDS = st.dictionaries(
    st.sampled_from([*target_spec(), "cold_left_ms", "version", "other"]),
    JSON_VALUES,
    max_size=4,
)


@fuzz_settings(200)
@given(TARGET_FIELDS, st.booleans())
def test_any_entry_is_read_or_left_out_alone(
    changes: dict[str, object], is_ascii: bool
) -> None:
    text = json.dumps(target_spec(**changes), ensure_ascii=is_ascii)
    odd = entry(b'"odd"', text.encode("utf-8", "surrogatepass"))
    data = page(entry(b'"a"', GOOD), odd, entry(b'"b"', GOOD))
    assert listed(data) >= {"a", "b"}


@fuzz_settings(200)
@given(st.binary(max_size=60))
def test_any_bytes_in_an_answer_are_an_error_at_most(data: bytes) -> None:
    answers = StoreAnswers()
    for odd in (data, page(entry(b'"a"', GOOD), data)):
        try:
            found = answers.listing(KIND, odd, 0)
        except TransportError:
            continue
        for item in found.objects:
            assert 0 < len(item.key) <= MAX_NAME_LENGTH + len(KIND) + 1
            item.key.encode()


@fuzz_settings(200)
@given(st.binary(max_size=60) | JSON_VALUES.map(lambda x: json.dumps(x).encode()))
def test_decoders_reject_any_value_by_one_error(value: bytes) -> None:
    decoder = PlatformDecoder()
    for decode in (
        lambda: decoder.document(value, 1),
        lambda: decoder.target("x", value),
        lambda: decoder.weights(value),
    ):
        try:
            decode()
        except EntryInvalidError as err:
            str(err).encode()
