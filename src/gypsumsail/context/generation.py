"""Generations: the part of a block's name that is never used twice."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.core.ids import new_id

_KEY_DIGITS = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Generation:
    """One export attempt.

    Attributes
    ----------
    attempt
        Random, so that no two attempts write under one name.
    start
        Depth of the first block that is written.
    key
        Directory key of the prompt, by which its owner is found again when the
        directory was lost.
    """

    attempt: str
    start: int
    key: str

    def __str__(self) -> str:
        return f"{self.attempt}-{self.start}-{self.key}"


def new_generation(start: int, key: str) -> Generation:
    """Return the generation of a new export attempt."""
    return Generation(attempt=new_id(), start=start, key=key)


def parse_generation(text: str) -> Generation | None:
    """Return the generation, or ``None`` when the text is something else."""
    parts = text.split("-")
    if len(parts) != 3 or not parts[1].isascii() or not parts[1].isdigit():
        return None
    if len(parts[2]) != _KEY_DIGITS or not is_hex(parts[2]):
        return None
    return Generation(attempt=parts[0], start=int(parts[1]), key=parts[2])


def is_hex(text: str) -> bool:
    """Return whether a text has only lower-case hexadecimal digits."""
    return bool(text) and all(digit in "0123456789abcdef" for digit in text)
