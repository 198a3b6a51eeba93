"""Tests that a customer is isolated by whatever document isolates it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.platform.customers import CustomerFields
from gypsumsail.platform.documents import EntryInvalidError, decode_document
from tests.fuzzing import fuzz_settings
from tests.gateway.common import (
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    engine,
    gateway,
    prompt,
)
from tests.platform.customer_documents import SHARING, encode, isolating


async def async_scope(gw: Gateway, key: str) -> str:
    """Return the scope of a call that is made with a key."""
    its_call = call("/s/x", prompt=prompt(), api_key=key)
    await gw.async_handle(its_call, RecordedReply())
    sent = gw.calls.sent[-1]  # type: ignore[attr-defined]
    scope: str = sent.terms.cache_scope
    return scope


FORMS = {
    "with its key": encode(isolating({"api_keys": ["key-a"]})),
    "without a list of keys": encode(isolating({})),
    "without keys": encode(isolating({"api_keys": []})),
    "beside an odd priority": encode(isolating({}, {"name": "x", "priority": "high"})),
    "beside odd keys": encode(isolating({}, {"name": "x", "api_keys": 7})),
    "beside an odd name": encode(isolating({}, {"name": "x\ud83d"})),
    "beside a name that is no text": encode(isolating({}, {"name": 7})),
    "beside no name": encode(isolating({}, {"name": "", "api_keys": ["x"]})),
    "beside no customer": encode(isolating({}, None)),
    "unreadable": encode(isolating({"dedicated": "yes", "api_keys": ["key-a"]})),
    "named twice": encode(isolating({"api_keys": ["key-a"]}, SHARING[0])),
}


@pytest.mark.parametrize(
    ("entry", "invalid", "keys"),
    [
        ({"name": "x", "api_keys": ["k", 7, None]}, "tenants[x].api_keys", {"k"}),
        ({"name": "x", "api_keys": "k"}, "tenants[x].api_keys", set()),
        ({"name": "x", "priority": []}, "tenants[x].priority", set()),
        ({"name": "x", "dedicated": None}, "tenants[x].dedicated", set()),
        ({"name": "x\ud83d", "api_keys": ["k"]}, "tenants[3].name", set()),
        ({"name": "", "api_keys": ["k"]}, "tenants[3].name", set()),
        ([[]], "tenants[3].name", set()),
    ],
)
def test_odd_customer_costs_itself_alone(
    entry: object, invalid: str, keys: set[str]
) -> None:
    """Its keys that can be read are served, and operators learn what can't be."""
    decoded = decode_document(encode([*SHARING, entry]), 1)
    assert decoded.invalid_fields == (invalid,)
    assert decoded.customers_by_key is not None
    assert decoded.customers_by_key.keys() == {"key-a", "key-b", "key-c"} | keys
    assert decoded.isolated_customers == ({"x"} if "dedicated" in invalid else set())


@pytest.mark.parametrize("order", [1, -1])
async def test_key_of_several_customers_shares_nothing_if_one_is_isolated(
    order: int,
) -> None:
    """WALL: calls with the key shared whatever the last entry with it shares."""
    other = {"name": "d", "api_keys": ["key-d"]}
    customers = isolating({"api_keys": ["key-d"]}, other)
    answers = [ScriptedExchange(body=[b"id: 1\n\n"]) for _ in range(3)]
    document = decode_document(encode(customers[::order]), 1)
    gw = gateway(ScriptedTargets(*answers), engine(), routing=document)
    scopes = [await async_scope(gw, key) for key in ("key-d", "key-d", "key-b")]
    assert len(set(scopes)) == 3


def test_key_of_several_customers_is_no_reason_to_isolate_them() -> None:
    decoded = decode_document(encode([*SHARING, SHARING[0] | {"name": "d"}]), 1)
    assert decoded.customers_by_key is not None
    assert not decoded.customers_by_key["key-a"].is_ambiguous


@pytest.mark.parametrize("number", ["1e999", "9" * 5_000, "NaN"])
def test_number_out_of_range_costs_its_field_alone(number: str) -> None:
    odd = {"name": "x", "priority": "high", "other": 7777}
    value = encode(isolating({}, odd)).replace(b"7777", number.encode())
    assert decode_document(value, 1).isolated_customers == {"a"}


ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**400), 10**400),
    st.floats(),
    st.text(st.characters(), max_size=3),
    st.lists(st.integers() | st.text(st.characters(), max_size=3), max_size=2),
)
FIELDS = st.sampled_from([*CustomerFields.__struct_fields__, "other"])


@fuzz_settings(300)
@given(st.lists(st.dictionaries(FIELDS, ODD_VALUES, max_size=4) | ODD_VALUES))
def test_no_value_in_other_customers_keeps_one_from_being_isolated(
    entries: list[object],
) -> None:
    """WALL: what a version isolates did not come into force for an odd entry."""
    customers = [*SHARING[1:], *entries, {"name": "a", "dedicated": True}]
    decoded = decode_document(encode(customers), 1)
    assert "a" in decoded.isolated_customers
    assert decoded.customers_by_key is not None
    assert decoded.customers_by_key.keys() >= {"key-b", "key-c"}


def test_document_that_can_not_be_read_elsewhere_is_rejected() -> None:
    with pytest.raises(EntryInvalidError):
        decode_document(encode([*SHARING, None], version="new"), 1)


@pytest.mark.parametrize("document", FORMS.values(), ids=FORMS.keys())
async def test_each_form_of_a_document_isolates_a_customer(document: bytes) -> None:
    """WALL: what a customer left was found by others, as isolation went by keys."""
    answers = [ScriptedExchange(body=[b"id: 1\n\n"]) for _ in range(3)]
    first = decode_document(encode(SHARING), 1)
    gw = gateway(ScriptedTargets(*answers), engine(), routing=first)
    before = await async_scope(gw, "key-a")
    gw.set_document(decode_document(document, 2))
    others = {await async_scope(gw, key) for key in ("key-b", "key-c")}
    assert len(others) == 1
    assert before not in others
