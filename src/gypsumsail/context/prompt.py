"""Hashed blocks of a prompt for one customer, model, adapter and version."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.context.blocks import block_hashes, cache_salt


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptBlocks:
    """Chained hashes of the full blocks of a prompt.

    Attributes
    ----------
    salt
        Salt that the hashes were computed with.
    hashes
        Hashes of the blocks in hexadecimal, the first block first.
    """

    service: str
    customer: str
    weight_version: str
    salt: str
    hashes: tuple[str, ...]


def make_prompt_blocks(
    prompt: str,
    *,
    service: str,
    customer: str,
    model: str,
    adapter: str,
    weight_version: str,
) -> PromptBlocks:
    """Hash the blocks of a prompt."""
    salt = cache_salt(
        service=service,
        customer=customer,
        model=model,
        adapter=adapter,
        weight_version=weight_version,
    )
    return PromptBlocks(
        service=service,
        customer=customer,
        weight_version=weight_version,
        salt=salt,
        hashes=block_hashes(prompt, salt),
    )
