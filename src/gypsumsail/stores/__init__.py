"""Port of store VMs, which keep blocks of KV cache, with its HTTP adapter.

Store VMs are not the context stores of the package ``context_stores``, which keep
parts of prompts.
"""

from __future__ import annotations
