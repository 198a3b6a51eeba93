"""Test that a document stored by the previous release can be read.

A change of the encoding would reject all stored documents. The bytes were written by
revision 6b3d19b.
"""

from __future__ import annotations

from gypsumsail.documents.codec import decode_stored
from gypsumsail.documents.models import StoredDocument

STORED = b'{"base":1000004,"text":"service: claims\\nowner: \\"\xc3\xa9quipe\\"\\n"}'


def test_document_of_the_previous_release_is_read() -> None:
    assert decode_stored(STORED) == StoredDocument(
        base=1_000_004, text='service: claims\nowner: "équipe"\n'
    )
