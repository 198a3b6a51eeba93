"""Brings the engines to the weights that the operator named."""

from __future__ import annotations
