"""Port of store VMs, which keep blocks of KV cache, with its HTTP adapter.

Store VMs are not the context stores of the package ``context_stores``, which keep the
KV cache of prompt parts and belong to Kerlann's platform.
"""

from __future__ import annotations
