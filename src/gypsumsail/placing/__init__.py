"""Decides which engines of a service serve which kinds of prompts."""

from __future__ import annotations
