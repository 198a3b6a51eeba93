"""Selection of the engine that serves a request.

The targets of this package are engines; ``target`` is the name of an engine. An entry
is a gateway process that accepts requests and selects engines for them.
"""

from __future__ import annotations
