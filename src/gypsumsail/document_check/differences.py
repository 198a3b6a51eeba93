"""Compares a routing document with the version in force, entry by entry."""

from __future__ import annotations

from collections.abc import Iterator

from gypsumsail.document_check.models import (
    ChangeKind,
    DecodedDocument,
    Difference,
    Entry,
)


def compare(
    in_force: DecodedDocument, document: DecodedDocument
) -> tuple[Difference, ...]:
    """Return the differences of a document from the version in force."""
    old, new = in_force.entries, document.entries
    found: list[Difference] = []
    for place in old.keys() - new.keys():
        found.append(Difference(kind=ChangeKind.REMOVED, place=place))
    for place in new.keys() - old.keys():
        found.append(Difference(kind=ChangeKind.ADDED, place=place))
    for place in new.keys() & old.keys():
        found += _compare_entries(place, old[place], new[place])
    return tuple(sorted(found, key=lambda item: item.place))


def _compare_entries(place: str, old: Entry, new: Entry) -> Iterator[Difference]:
    for name, after in new.fields.items():
        before = old.fields[name]
        if before != after:
            yield Difference(
                kind=ChangeKind.CHANGED,
                place=f"{place}.{name}".lstrip("."),
                before=before,
                after=after,
            )
    if old.keys != new.keys:
        added, removed = len(new.keys - old.keys), len(old.keys - new.keys)
        yield Difference(
            kind=ChangeKind.CHANGED,
            place=f"{place}.{new.keys_name}",
            note=f"{added} added, {removed} removed",
        )
