"""Zones whose targets get no calls, and regions to which calls are confined."""

from __future__ import annotations
