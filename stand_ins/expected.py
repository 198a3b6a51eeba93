"""The answer that a prompt must get from an engine; for checkers."""

from __future__ import annotations

from stand_ins.content import (
    answer_token,
    block_value,
    final_value,
    natural_length,
    root_value,
    split,
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
    """Return the tokens of the one right answer, computed with no cache."""
    raw = prompt.encode()
    blocks, rest = split(raw)
    value = root_value(cache_salt, weight_version)
    for block in blocks:
        value = block_value(value, weight_version, block)
    final = final_value(value, rest, model, adapter, weight_version)
    length = min(max_tokens, natural_length(raw))
    return tuple(answer_token(final, index) for index in range(length))
