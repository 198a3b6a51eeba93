"""Hash chains of prompt blocks and the distributed directory of cached prompts.

An entry is a process that receives requests and selects an engine for each of them.
The other entries are its peers. The entries of a zone share the directory, which
maps prompts to the engines and stores that cache their blocks; each entry has one
shard of it.
"""

from __future__ import annotations
