"""Logging as JSON or text.

The logs of an entry are redacted; the decision log is not.
"""

from __future__ import annotations
