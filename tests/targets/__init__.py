"""Tests of the clients for targets."""

from __future__ import annotations
