"""Constants of the forwarding of calls to other VMs."""

from __future__ import annotations

from typing import Final

FORWARD_PATH: Final = "/peer/forward"
"""Path on the control port at which a VM takes calls of other VMs."""
FORMAT_VERSION: Final = 1
"""Version of the message format; messages of other versions are rejected."""
FORWARD_ID_HEADER: Final = b"forward-id"
"""Header that matches the answer of a helper to the call."""
REFUSAL_HEADER: Final = b"forward-refusal"
"""Header in the answer of a helper that did not take the call."""
HELPER_CONNECT_SECONDS: Final = 0.35
"""Timeout for connecting to a helper."""
KEEP_ALIVE_SECONDS: Final = 10
"""Time for which senders may keep an idle connection.

It must stay below the idle limit of the control port, so that no call is sent on a
connection that the helper is about to close.
"""
MAX_HELPERS_PER_CALL: Final = 3
"""Helpers that are tried for one call."""
AVOID_SECONDS: Final = 1.0
"""Time for which a helper is not chosen after it failed or reached no target."""
FULL_AVOID_SECONDS: Final = 0.2
"""Time for which a helper is not chosen after it had no room."""
KNOWN_GOOD_SECONDS: Final = 2.0
"""Time for which a helper that took a call is preferred to those not tried lately."""
MAX_UNREACHABLE_HELPERS: Final = 24
"""Helpers that reach no target either, from which on the service counts as down."""
MAX_CALLS_IN_PROGRESS: Final = 256
"""Forwarded calls that a VM serves at once."""
MESSAGE_OVERHEAD_BYTES: Final = 65_536
"""Room for the head of a forwarded call, beyond the largest body of a caller."""
