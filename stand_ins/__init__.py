"""Simplified servers that replace the systems around gypsumsail.

Tests, the demo, the bench and the soak run them on loopback.
"""

from __future__ import annotations
