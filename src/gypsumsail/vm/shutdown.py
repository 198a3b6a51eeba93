"""Decides when a VM that was told to stop may end."""

from __future__ import annotations

from gypsumsail.vm.const import BALANCER_NOTICE_SECONDS, EXIT_MARGIN_SECONDS


def accepts_requests(signalled_at: float | None, now: float) -> bool:
    """Return whether a request that is read now is served.

    Once the balancer has noticed the stop, a new request might not be answered
    before the process ends; another VM serves it at once.
    """
    return signalled_at is None or now - signalled_at < BALANCER_NOTICE_SECONDS


def may_exit(
    signalled_at: float, busy_connections: int, grace_seconds: float, now: float
) -> bool:
    """Return whether the process ends now.

    It waits for what it has read, and until the balancer has noticed that it is not
    ready any more; it ends before the platform would kill it.
    """
    waited = now - signalled_at
    if waited >= grace_seconds - EXIT_MARGIN_SECONDS:
        return True
    return waited >= BALANCER_NOTICE_SECONDS and not busy_connections
