"""Size limits and patterns of service documents.

A limit whose name states no other scope applies to one document.
"""

from __future__ import annotations

from typing import Final

MAX_DOCUMENT_BYTES: Final = 400_000
MAX_NESTING_DEPTH: Final = 12
MAX_YAML_NODES: Final = 50_000
MAX_FINDINGS: Final = 200
MAX_NAME_CHARACTERS: Final = 63
MAX_CUSTOMERS: Final = 5_000
MAX_KEYS_PER_CUSTOMER: Final = 16
MAX_MODELS: Final = 64
MAX_ADAPTERS_PER_MODEL: Final = 256
MAX_ROUTES: Final = 256
MAX_PATH_CHARACTERS: Final = 200
# The most urgent priority is 0.
LEAST_URGENT_PRIORITY: Final = 9
MAX_DEADLINE_SECONDS: Final = 86_400.0
WEIGHT_SUM_TOLERANCE: Final = 1e-6

NAME_PATTERN: Final = r"^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$"
VERSION_PATTERN: Final = r"^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$"
DIGEST_PATTERN: Final = r"^[0-9a-f]{64}$"
PATH_PATTERN: Final = r"^(/[A-Za-z0-9._~-]+)+$"
