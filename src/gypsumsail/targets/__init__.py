"""Interfaces and HTTP clients for targets.

A target is a model engine, whose answers are streamed, or a plain service: any other
HTTP service, which is called without streaming.
"""

from __future__ import annotations
