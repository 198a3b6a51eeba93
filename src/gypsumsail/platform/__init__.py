"""Adapter to Kerlann's platform, on which the gateway VMs of ``cli.vm`` run.

The platform provides the settings file, the object store, targets, engines and context
stores. The package holds their names, formats and calls and contains no decision logic.
The commands of ``cli.entry`` use another platform, through ``object_api.http``.
"""

from __future__ import annotations
