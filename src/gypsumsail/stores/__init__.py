"""Port and adapter to store VMs."""

from __future__ import annotations
