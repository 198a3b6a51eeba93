"""Membership of the deployment: entries, targets and stores.

An entry is a VM of the gateway that accepts requests of callers. This package is used
by the entry program; ``gossip`` and ``vm`` track the VMs of the other gateway program.
"""

from __future__ import annotations
