"""Command-line interface of gypsumsail.

An entry is a gateway process that accepts the requests of callers. The commands query
the entries over their operator API, and the platform over its object API.
"""

from __future__ import annotations
