"""Attempts of a request on its targets, and forwarding of the answer."""

from __future__ import annotations
