"""Command-line interface of gypsumsail.

An entry is a gateway process that accepts the requests of callers. The commands run an
entry or a gateway VM, query the entries over their operator API, and use the platform
over its object API.
"""

from __future__ import annotations
