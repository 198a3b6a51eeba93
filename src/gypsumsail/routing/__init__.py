"""Selection of the engine that serves a request.

The targets of this package are engines; ``target`` is the name of an engine. An entry
is a gateway process that accepts requests and selects engines for them.

A block is the KV cache of `TOKENS_PER_BLOCK` prompt tokens. Engines export blocks to
the stores of `gypsumsail.tiers`, and other engines import them over the link, the
network between engines and stores. `gypsumsail.context_stores` is about other stores,
which hold prompt parts instead of blocks.
"""

from __future__ import annotations
