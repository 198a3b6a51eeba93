"""Generations: the part of a block name that is unique to an export attempt."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.core.ids import new_id

# Length of a directory key in hex digits.
_KEY_DIGITS = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Generation:
    """Identifier of one export attempt.

    Attributes
    ----------
    attempt
        Random identifier, so that no two attempts write blocks of the same name.
    start
        Depth of the first block that the attempt writes.
    key
        Directory key of the prompt. After a loss of the directory, the listing of
        the store is searched by this key.
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
    """Return the parsed generation, or ``None`` if the text is not a generation."""
    parts = text.split("-")
    if len(parts) != 3 or not parts[1].isascii() or not parts[1].isdigit():
        return None
    if len(parts[2]) != _KEY_DIGITS or not is_hex(parts[2]):
        return None
    return Generation(attempt=parts[0], start=int(parts[1]), key=parts[2])


def is_hex(text: str) -> bool:
    """Return whether a text is not empty and has only lower-case hex digits."""
    return bool(text) and all(digit in "0123456789abcdef" for digit in text)
