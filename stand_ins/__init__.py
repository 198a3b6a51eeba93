"""Small stand-ins of the systems around gypsumsail, for tests and the demo."""

from __future__ import annotations
