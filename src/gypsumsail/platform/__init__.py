"""Adapter to Kerlann's platform.

The package holds the names, formats and calls of the platform and contains no
decision logic.
"""

from __future__ import annotations
