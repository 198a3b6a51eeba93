"""Customer limits, fair sharing and load shedding.

An entry is a gateway process that accepts requests.
"""

from __future__ import annotations
