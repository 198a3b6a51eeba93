"""Tests of the vm package."""

from __future__ import annotations
