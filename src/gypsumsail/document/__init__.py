"""Parsing, validation and schema of one service document.

The package ``gypsumsail.documents`` stores and distributes the documents.
"""

from __future__ import annotations
