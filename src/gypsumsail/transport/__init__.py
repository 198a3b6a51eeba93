"""HTTP towards the platform, targets and stores."""

from __future__ import annotations
