"""Rollout of the weights that the operator selected to the engines."""

from __future__ import annotations
