"""Choice of the VM that serves a call of a VM without links to the targets.

Load pattern: many VMs lose their links at once, and all calls there need a helper in
the same second. Each sender takes the least used of a few random helpers, so that they
share the calls without asking each other. A helper that reaches no target either says
so at once and is left out for a while.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
import random

from gypsumsail.evacuations.homes import Homes, Regions
from gypsumsail.forwarding.const import (
    AVOID_SECONDS,
    FULL_AVOID_SECONDS,
    KNOWN_GOOD_SECONDS,
    MAX_HELPERS_PER_CALL,
    MAX_UNREACHABLE_HELPERS,
)
from gypsumsail.gateway.forwarding import ForwardRefusal
from gypsumsail.gossip.const import HEARD_LATELY_SECONDS
from gypsumsail.gossip.peers import Peer, PeerTable

CHOICES = 2
"""Helpers of which the least used one is taken.

One more takes part if all of these have served calls lately.
"""


@dataclass(slots=True)
class Helpers:
    """What this VM knows of the others as helpers.

    Attributes
    ----------
    in_progress
        Calls of this VM at each helper.
    avoided_until
        Time until which a helper gets no call.
    unreachable_until
        Time until which a helper counts as reaching no target of a service.
    served_at
        Time at which a helper last took a call of a service.
    regions
        Regions of the zones, to which calls may be confined.
    """

    peers: PeerTable
    random: random.Random = field(default_factory=random.Random)
    in_progress: Counter[str] = field(default_factory=Counter)
    avoided_until: dict[str, float] = field(default_factory=dict)
    unreachable_until: dict[tuple[str, str], float] = field(default_factory=dict)
    served_at: dict[tuple[str, str], float] = field(default_factory=dict)
    regions: Regions = field(init=False)

    def __post_init__(self) -> None:
        """Know no region until the settings are applied."""
        self.regions = Regions(own_zone=self.peers.zone)

    def choose(
        self, service: str, tried: set[str], homes: Homes, now: float
    ) -> str | None:
        """Return the host of a helper; ``None`` if there is none.

        Parameters
        ----------
        tried
            Hosts at which the call was tried.
        homes
            Regions to which the call is confined.
        """
        if len(tried) >= MAX_HELPERS_PER_CALL:
            return None
        candidates = [
            peer
            for peer in self.peers.alive(now)
            if peer.reads_forwards
            and peer.host not in tried
            and self.regions.may_forward(peer.zone, homes)
            and self.avoided_until.get(peer.host, now) <= now
            and not self._is_unreachable(peer.host, service, now)
            and not self.is_silent(peer.host, now)
        ]
        good = [peer for peer in candidates if self._is_good(peer.host, service, now)]
        others = [peer for peer in candidates if peer not in good]
        if not good and self._is_down(service, now):
            return None
        drawn = self._draw(good, CHOICES)
        # One that was not tried lately takes part, so that helpers are found again.
        drawn += self._draw(others, max(CHOICES - len(drawn), 1))
        return min(drawn, key=self._rank).host if drawn else None

    def _draw(self, peers: list[Peer], count: int) -> list[Peer]:
        return self.random.sample(peers, min(len(peers), count))

    def _rank(self, peer: Peer) -> tuple[int, bool]:
        return self.in_progress[peer.host], peer.zone != self.peers.zone

    def _is_good(self, host: str, service: str, now: float) -> bool:
        served_at = self.served_at.get((host, service))
        return served_at is not None and now - served_at < KNOWN_GOOD_SECONDS

    def _is_unreachable(self, host: str, service: str, now: float) -> bool:
        return self.unreachable_until.get((host, service), now) > now

    def _is_down(self, service: str, now: float) -> bool:
        """Return whether the targets themselves seem to be down."""
        found = sum(
            name == service and until > now
            for (_, name), until in self.unreachable_until.items()
        )
        return found >= MAX_UNREACHABLE_HELPERS

    def begin(self, host: str) -> None:
        """Count a call that is forwarded to a helper."""
        self.in_progress[host] += 1

    def end(self, host: str) -> None:
        """Stop to count a call."""
        self.in_progress[host] -= 1
        if not self.in_progress[host]:
            del self.in_progress[host]

    def record_served(self, host: str, service: str, now: float) -> None:
        """Record that a helper took a call."""
        self.served_at[(host, service)] = now

    def record_failure(self, host: str, now: float) -> None:
        """Record that a helper can't be connected to, or broke off an answer."""
        self._forget_old(now)
        self.avoided_until[host] = now + AVOID_SECONDS

    def record_refusal(
        self, host: str, service: str, refusal: ForwardRefusal, now: float
    ) -> None:
        """Record that a helper did not take a call."""
        self._forget_old(now)
        match refusal:
            case ForwardRefusal.UNREACHABLE:
                self.unreachable_until[(host, service)] = now + AVOID_SECONDS
                self.served_at.pop((host, service), None)
            case ForwardRefusal.FULL:
                self.avoided_until[host] = now + FULL_AVOID_SECONDS
            case ForwardRefusal.OLDER_DOCUMENT | ForwardRefusal.STOPPING:
                self.avoided_until[host] = now + AVOID_SECONDS

    def _forget_old(self, now: float) -> None:
        self.avoided_until = {
            host: until for host, until in self.avoided_until.items() if until > now
        }
        self.unreachable_until = {
            key: until for key, until in self.unreachable_until.items() if until > now
        }
        self.served_at = {
            key: at
            for key, at in self.served_at.items()
            if now - at < KNOWN_GOOD_SECONDS
        }

    def is_silent(self, host: str, now: float) -> bool:
        """Return whether a VM that sends messages often has sent none for long."""
        peer = self.peers.peers.get(host)
        if peer is None:
            return True
        if self.peers.is_told_by_reports(peer, now):
            return False
        return not peer.is_alive(now, HEARD_LATELY_SECONDS)
