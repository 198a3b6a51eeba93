"""Port of the platform's object API and VM list, with an HTTP client.

VMs of role ``ENTRY`` and the commands that query them use the HTTP client. The gateway
VMs of ``cli.vm`` use the port with the adapter in the package ``platform``, whose
platform has another protocol.
"""

from __future__ import annotations
