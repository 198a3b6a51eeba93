"""The entry: accepts the requests of callers and relays them to targets."""

from __future__ import annotations
