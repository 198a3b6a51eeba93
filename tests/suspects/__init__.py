"""Tests of the detection of requests that crash targets."""

from __future__ import annotations
