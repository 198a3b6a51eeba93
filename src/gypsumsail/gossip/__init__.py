"""State that the VMs of the gateway exchange by UDP datagrams."""

from __future__ import annotations
