"""Port of the platform's object API and VM list, with the HTTP client for entries.

The gateway VMs of ``cli.vm`` use the port with the adapter in the package ``platform``,
whose platform has another protocol.
"""

from __future__ import annotations
