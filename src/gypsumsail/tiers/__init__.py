"""Export, import, promotion and eviction of blocks in the store tiers.

A store VM keeps the blocks that engines export to it in two tiers, memory and disk.
Other engines import the blocks instead of computing them again.
"""

from __future__ import annotations
