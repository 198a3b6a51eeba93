"""Computation of the correct answer to a prompt, for checks of answers."""

from __future__ import annotations

from stand_ins.content import (
    answer_seed,
    answer_token,
    block_value,
    natural_length,
    root_value,
    split_blocks,
)


def expected_answer(
    *,
    prompt: str,
    max_tokens: int,
    model: str,
    adapter: str,
    weight_version: str,
    cache_salt: str,
) -> tuple[str, ...]:
    """Return the tokens of the only correct answer, computed without a cache."""
    prompt_bytes = prompt.encode()
    blocks, remainder = split_blocks(prompt_bytes)
    value = root_value(cache_salt, weight_version)
    for block in blocks:
        value = block_value(value, weight_version, block)
    seed = answer_seed(value, remainder, model, adapter, weight_version)
    length = min(max_tokens, natural_length(prompt_bytes))
    return tuple(answer_token(seed, index) for index in range(length))
