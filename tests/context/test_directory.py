"""Tests of the directory shard of one entry."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.context.chain import common_depth, directory_keys, make_chain
from gypsumsail.context.directory import Directory
from gypsumsail.context.models import StoredPrefix

from .common import STORE, make_hashes, make_hint, make_stored, make_update

PROMPT_HASHES = make_hashes(range(40))
PROMPTS = st.lists(
    st.lists(
        st.tuples(st.integers(0, 1), st.integers(1, 12)), min_size=1, max_size=4
    ).map(lambda parts: [kind for kind, size in parts for _ in range(size)]),
    min_size=1,
    max_size=12,
)


def find_stored(
    directory: Directory, hashes: tuple[str, ...]
) -> dict[str, StoredPrefix]:
    chain = make_chain(hashes)
    kept: dict[str, StoredPrefix] = {}
    for key in directory_keys(hashes):
        answer = directory.look_up(key, chain, now=1.0)
        if answer.chain is None:
            continue
        depth = common_depth(hashes, answer.chain)
        for stored in answer.stored:
            if stored.cut(depth).runs:
                kept.setdefault(stored.store_url, stored.cut(depth))
    return kept


@settings(derandomize=True, max_examples=400, deadline=None)
@given(PROMPTS)
def test_lookups_return_only_exported_names_and_find_the_last_prompt(
    prompts: list[list[int]],
) -> None:
    directory = Directory()
    exported: set[str] = set()
    for number, blocks in enumerate(prompts):
        hashes = make_hashes(blocks)
        middle = len(hashes) // 2
        ends = [(end, f"g{number}.{end}") for end in {middle, len(hashes)} if end]
        stored = make_stored(*sorted(ends))
        exported.update(stored.names(hashes))
        directory.publish(make_update(hashes, stored=stored), now=0.0)
        for queried in prompts[: number + 1]:
            own = make_hashes(queried)
            for kept in find_stored(directory, own).values():
                assert exported.issuperset(kept.names(own))
        assert find_stored(directory, hashes)[STORE].depth >= len(hashes) // 8 * 8


def test_new_question_finds_the_stored_document_prefix() -> None:
    directory = Directory()
    first = make_hashes([*range(40), "question"])
    directory.publish(make_update(first, stored=make_stored((41, "g1"))), now=0.0)
    second = make_hashes([*range(40), "other"])
    assert find_stored(directory, second)[STORE].names(second)[39] == f"{second[39]}.g1"
    directory.publish(make_update(second), now=1.0)
    assert len(directory.records) == 1
    assert find_stored(directory, first)[STORE].depth == 40
    assert find_stored(directory, second)[STORE].depth == 40


def test_prompts_with_a_short_common_prefix_have_separate_records() -> None:
    directory = Directory()
    documents = [make_hashes([*range(33), *[f"{number}"] * 30]) for number in range(20)]
    for number, hashes in enumerate(documents):
        stored = make_stored((63, f"g{number}"))
        directory.publish(make_update(hashes, stored=stored), now=0.0)
    for number, hashes in enumerate(documents):
        assert find_stored(directory, hashes)[STORE].runs[0].generation == f"g{number}"


def test_short_prompts_with_a_common_prefix_have_separate_records() -> None:
    directory = Directory()
    prompts = [make_hashes([*range(4), number]) for number in range(9)]
    for number, hashes in enumerate(prompts):
        stored = make_stored((5, f"g{number}"))
        directory.publish(make_update(hashes, stored=stored), now=0.0)
    for number, hashes in enumerate(prompts):
        assert find_stored(directory, hashes)[STORE].runs[0].generation == f"g{number}"


def test_withdraw_and_drop_store_remove_stored_blocks() -> None:
    directory = Directory()
    stored = make_stored((16, "g1"), (40, "g2"))
    directory.publish(make_update(PROMPT_HASHES, stored=stored), now=0.0)
    directory.withdraw(
        directory_keys(PROMPT_HASHES)[0], make_chain(PROMPT_HASHES), STORE, 10
    )
    assert find_stored(directory, PROMPT_HASHES)[STORE].runs[-1].end == 10
    directory.drop_store(STORE)
    assert not find_stored(directory, PROMPT_HASHES)


def test_least_recently_used_records_are_evicted_first() -> None:
    directory = Directory(max_records=3)
    prompts = [make_hashes([number, *range(40)]) for number in range(4)]
    for hashes in prompts[:3]:
        directory.publish(make_update(hashes, engine=make_hint("e", 41)), now=0.0)
    chain = make_chain(prompts[0])
    directory.look_up(directory_keys(prompts[0])[0], chain, now=0.5)
    directory.publish(make_update(prompts[3]), now=1.0)
    seen = [
        directory.look_up(directory_keys(hashes)[0], make_chain(hashes), now=1.0)
        for hashes in prompts
    ]
    assert [answer.chain is not None for answer in seen] == [True, False, True, True]
    assert all(
        record in directory.records.values() for record in directory.index.values()
    )


def test_updates_rebuild_a_record_in_another_directory() -> None:
    first, second = Directory(), Directory()
    update = make_update(
        PROMPT_HASHES, stored=make_stored((40, "g")), engine=make_hint("e", 40)
    )
    first.publish(update, now=5.0)
    (record,) = first.oldest_first()
    for copy in first.updates_for(record, now=7.0):
        second.publish(copy, now=107.0)
    (rebuilt,) = second.oldest_first()
    assert (rebuilt.stored, rebuilt.engine, rebuilt.hint_depth) == (
        record.stored,
        "e",
        40,
    )
    assert rebuilt.requested_at == 105.0
