"""Saves parts of prompts to context stores and has engines fetch them again."""

from __future__ import annotations
