"""What the VMs of the gateway tell each other by datagrams."""

from __future__ import annotations
