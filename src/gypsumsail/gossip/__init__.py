"""State that the VMs of the gateway exchange by UDP datagrams.

The package is used by the program in ``vm``. The entry program tracks its peers in
``membership`` instead.
"""

from __future__ import annotations
