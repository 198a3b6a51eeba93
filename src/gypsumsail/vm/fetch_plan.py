"""Decides when a VM that lacks a change asks another VM for it.

Load pattern: the VMs of a zone hear of a change in the same moment, from few VMs that
have it. One call is enough for most of them. A VM that gets no answer doesn't wait for
the end of its call, which would take a large part of the time in which the change must
be in force.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.catalog.const import FETCH_SHARE, HEDGE_SHARE
from gypsumsail.vm.const import (
    AVOID_FAILED_SECONDS,
    MAX_FETCHES,
    PEER_RETRY_SECONDS,
    PEER_TIMEOUT_SECONDS,
)


def fetch_limit(bound: float) -> float:
    """Return the time limit of a call, in seconds.

    Parameters
    ----------
    bound
        Seconds in which the change must be in force.
    """
    return min(bound * FETCH_SHARE, PEER_TIMEOUT_SECONDS)


def hedge_delay(bound: float) -> float:
    """Return after how many seconds without an answer a call is hedged by another."""
    return min(bound * HEDGE_SHARE, PEER_TIMEOUT_SECONDS)


@dataclass(slots=True)
class FetchPlan:
    """Calls in progress and failed calls, by host.

    Attributes
    ----------
    running
        Hosts that are being asked.
    failed_at
        Time at which the latest call to a host failed.
    next_at
        Time before which no further call begins while one is in progress.
    """

    running: set[str] = field(default_factory=set)
    failed_at: dict[str, float] = field(default_factory=dict)
    next_at: float = float("-inf")

    def may_start(self, now: float) -> bool:
        """Return whether a call may begin."""
        if not self.running:
            return True
        return now >= self.next_at and len(self.running) < MAX_FETCHES

    def exclusions(self, now: float) -> list[set[str]]:
        """Return sets of hosts that are not asked, the one to be preferred first.

        A host whose call failed is asked again soon only if there is no other.
        """
        self.failed_at = {
            host: at
            for host, at in self.failed_at.items()
            if now - at < AVOID_FAILED_SECONDS
        }
        just_failed = {
            host for host, at in self.failed_at.items() if now - at < PEER_RETRY_SECONDS
        }
        return [self.running | self.failed_at.keys(), self.running | just_failed]

    def record_start(self, host: str, bound: float, now: float) -> None:
        """Record that a host is asked for changes with a bound in seconds."""
        self.running.add(host)
        self.next_at = now + hedge_delay(bound)

    def record_end(self, host: str, now: float, *, has_failed: bool) -> None:
        """Record the end of a call."""
        self.running.discard(host)
        if has_failed:
            self.failed_at[host] = now
