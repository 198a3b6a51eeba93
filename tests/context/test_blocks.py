"""Tests of prompt blocks and their hashes."""

from __future__ import annotations

from hashlib import blake2b

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.context.blocks import block_hashes, cache_salt, token_count

PARTS = st.tuples(*[st.text(alphabet="1:é", max_size=2)] * 5)


def make_salt(parts: tuple[str, ...]) -> str:
    service, customer, model, adapter, weight_version = parts
    return cache_salt(
        service=service,
        customer=customer,
        model=model,
        adapter=adapter,
        weight_version=weight_version,
    )


@settings(derandomize=True, max_examples=500)
@given(PARTS, PARTS)
def test_salts_differ_when_any_part_differs(
    first: tuple[str, ...], second: tuple[str, ...]
) -> None:
    assert (make_salt(first) == make_salt(second)) == (first == second)


def test_salt_distinguishes_shifted_part_boundaries() -> None:
    assert make_salt(("a:b", "c", "", "", "")) != make_salt(("a", "b:c", "", "", ""))
    assert make_salt(("1:a", "", "", "", "")) != make_salt(("1", "a", "", "", ""))
    assert make_salt(("ab", "c", "", "", "")) != make_salt(("a", "bc", "", "", ""))


@settings(derandomize=True, max_examples=100)
@given(st.text(alphabet="aé漢", max_size=1500), st.text(max_size=5))
def test_block_hashes_chain_salt_and_blocks_of_1024_bytes(
    prompt: str, salt: str
) -> None:
    data = prompt.encode()
    previous = blake2b(salt.encode(), digest_size=16).digest()
    expected = []
    while len(data) >= 1024:
        previous = blake2b(previous + data[:1024], digest_size=16).digest()
        expected.append(previous.hex())
        data = data[1024:]
    assert block_hashes(prompt, salt) == tuple(expected)


def test_changed_block_changes_all_later_hashes() -> None:
    prompt = "x" * 4096
    changed = "x" * 1024 + "y" + "x" * 3071
    before, after = block_hashes(prompt, "s"), block_hashes(changed, "s")
    assert before[0] == after[0]
    assert not set(before[1:]) & set(after[1:])


def test_token_count_rounds_up() -> None:
    assert [token_count("x" * size) for size in (0, 1, 4, 5)] == [0, 1, 1, 2]
    assert token_count("é" * 2 + "x") == 2
