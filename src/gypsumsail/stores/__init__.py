"""Port of store VMs with its HTTP adapter."""

from __future__ import annotations
