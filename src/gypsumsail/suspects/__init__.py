"""Detection of requests that crash the targets that run them.

A request is a suspect if a target crashed while running it. A target runs at most one
suspect at a time, in its suspect slot, so that a further crash can be attributed to
that request. A request is convicted, and refused for some time, if enough targets have
crashed and the last one crashed while the request ran in its suspect slot.

An entry is a gateway process that accepts requests.
"""

from __future__ import annotations
