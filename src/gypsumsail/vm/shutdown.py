"""Decides when a VM may exit after a stop signal."""

from __future__ import annotations

from gypsumsail.vm.const import BALANCER_NOTICE_SECONDS, EXIT_MARGIN_SECONDS


def accepts_requests(signalled_at: float | None, now: float) -> bool:
    """Return whether a request that arrives now is accepted.

    After the balancer notice period, a new request might not be answered before the
    process exits, whereas another VM can serve it immediately.
    """
    return signalled_at is None or now - signalled_at < BALANCER_NOTICE_SECONDS


def latest_exit(signalled_at: float, grace_seconds: float) -> float:
    """Return the time at which the process exits at the latest.

    It exits before the platform would kill it.
    """
    return signalled_at + max(grace_seconds - EXIT_MARGIN_SECONDS, 0.0)


def may_exit(
    signalled_at: float, busy_connections: int, exits_at: float, now: float
) -> bool:
    """Return whether the process may exit now.

    The process waits for its accepted requests, and until the balancer has noticed
    that the VM is no longer ready.

    Parameters
    ----------
    exits_at
        See ``latest_exit``.
    """
    if now >= exits_at:
        return True
    return now - signalled_at >= BALANCER_NOTICE_SECONDS and not busy_connections
