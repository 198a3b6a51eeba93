"""Tells the VMs what targets say of themselves, and applies what others tell.

News is sent at once. Besides, each VM sends what it knows to a few random VMs from time
to time, so that those hear of it that were cut off, have lost a datagram or have just
started. The last statement on a limit wins; its stamp grows with each statement.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from gypsumsail.core.callback import callback
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import TargetState
from gypsumsail.gossip.const import (
    MAX_NOTICES_PER_MESSAGE,
    NOTICE_INTERVAL_SECONDS,
    NOTICE_RECIPIENTS,
    NOTICE_REPEAT_SECONDS,
    NOTICE_WAIT_SECONDS,
)
from gypsumsail.gossip.peers import Peer, PeerTable
from gypsumsail.gossip.reporter import REPORTER_DUTY
from gypsumsail.gossip.target_notices import (
    NamedWeights,
    TargetNotice,
    TargetNotices,
)


class NoticeExchange:
    """Notices of this VM's targets.

    Attributes
    ----------
    send
        Sends notices to hosts.
    on_leaving, on_limit
        Called with a target and the name of the VM that told of it, when it is news.
    named_weights
        Returns the weight versions that this VM knows at a time.
    on_weights_named
        Called with a model, a version and the time at which it was named.
    changed_at
        Time of the latest news of each target, by name and life.
    has_heard
        Whether another VM has told all that it knows since the start, or the wait for
        it is over.
    """

    def __init__(
        self,
        peers: PeerTable,
        targets: TargetTable,
        send: Callable[[TargetNotices, list[str]], None],
        started_at: float,
    ) -> None:
        self.peers = peers
        self.targets = targets
        self.send = send
        self.random = Random()
        self.on_leaving: Callable[[TargetEntry, str], None] = lambda entry, vm: None
        self.on_limit: Callable[[TargetState, str], None] = lambda state, vm: None
        self.named_weights: Callable[[float], tuple[NamedWeights, ...]] = lambda now: ()
        self.on_weights_named: Callable[[str, int, float], None] = (
            lambda model, version, named_at: None
        )
        self.changed_at: dict[tuple[str, int], float] = {}
        self.sent_at = float("-inf")
        self.started_at = started_at
        self.has_heard = False

    @callback
    def announce(self, state: TargetState, now: float) -> None:
        """Tell the others of news that this VM has from the target itself."""
        key = (state.entry.name, state.entry.life)
        self.changed_at[key] = now
        self._send([key], self._hosts_for_news(now))

    @callback
    def tick(self, now: float) -> None:
        """Send what is known to some VMs, if it is time."""
        if now - self.sent_at < NOTICE_INTERVAL_SECONDS:
            return
        self.sent_at = now
        keys = self._current(now)
        if not keys:
            return
        count = min(len(keys), MAX_NOTICES_PER_MESSAGE)
        readers = self._readers(now)
        chosen = self.random.sample(readers, min(len(readers), NOTICE_RECIPIENTS))
        self._send(self.random.sample(keys, count), [peer.host for peer in chosen])

    @callback
    def tell_started(self, peer: Peer, now: float) -> None:
        """Tell a VM that has just started all that is known.

        It gets a message even if nothing is known, because it waits for one. A VM that
        waits itself does not know yet.
        """
        if not peer.reads_notices:
            return
        is_informed = self.is_informed(now)
        keys = self._current(now)
        weights = self.named_weights(now)
        for first in range(0, max(len(keys), 1), MAX_NOTICES_PER_MESSAGE):
            page = keys[first : first + MAX_NOTICES_PER_MESSAGE]
            is_last = first + MAX_NOTICES_PER_MESSAGE >= len(keys)
            self._send(page, [peer.host], weights, is_complete=is_last and is_informed)

    def is_informed(self, now: float) -> bool:
        """Return whether this VM has heard all notices since its start.

        It does not wait longer than ``NOTICE_WAIT_SECONDS``: it may be the only VM.
        """
        if not self.has_heard and now - self.started_at >= NOTICE_WAIT_SECONDS:
            self.has_heard = True
        return self.has_heard

    @callback
    def handle(self, message: TargetNotices, now: float) -> None:
        """Apply what another VM tells."""
        if message.host == self.peers.host:
            return
        if message.is_complete:
            self.has_heard = True
        for item in message.weights:
            named_at = now - item.age_ms / MILLISECONDS_PER_SECOND
            self.on_weights_named(item.model, item.version, named_at)
        news = [
            (notice.target, notice.life)
            for notice in message.notices
            if self._apply(notice, message.vm, now)
        ]
        for key in news:
            self.changed_at[key] = now
        is_from_elsewhere = message.zone != self.peers.zone
        if news and is_from_elsewhere and self.peers.is_large(now):
            same_zone = [
                peer.host for peer in self._readers(now) if peer.zone == self.peers.zone
            ]
            self._send(news, same_zone)

    def _apply(self, notice: TargetNotice, vm: str, now: float) -> bool:
        """Apply one notice; return whether it is news."""
        is_news = False
        state = self.targets.states.get(notice.target)
        if state is not None and state.entry.life != notice.life:
            state = None
        if notice.is_leaving and self.targets.record_leaving(
            notice.target, notice.life
        ):
            is_news = True
            if state is not None:
                self.on_leaving(state.entry, vm)
        limit = self.targets.call_limit(notice.target, notice.life)
        if limit.apply(notice.limit, notice.limit_stamp, now):
            is_news = True
            if state is not None:
                self.on_limit(state, vm)
        return is_news

    def _current(self, now: float) -> list[tuple[str, int]]:
        """Return the targets whose notices still have to be told."""
        limited = {
            (state.entry.name, state.entry.life)
            for state in self.targets.states.values()
            if state.limit.calls_per_second is not None or state.has_said_leaving
        }
        self.changed_at = {
            key: at
            for key, at in self.changed_at.items()
            if now - at < NOTICE_REPEAT_SECONDS
        }
        return sorted(limited | self.changed_at.keys())

    def _send(
        self,
        keys: Sequence[tuple[str, int]],
        hosts: list[str],
        weights: tuple[NamedWeights, ...] = (),
        *,
        is_complete: bool = False,
    ) -> None:
        if not hosts:
            return
        message = TargetNotices(
            vm=self.peers.vm,
            host=self.peers.host,
            zone=self.peers.zone,
            notices=tuple(map(self._notice, keys)),
            weights=weights,
            is_complete=is_complete,
        )
        self.send(message, hosts)

    def _notice(self, key: tuple[str, int]) -> TargetNotice:
        name, life = key
        limit = self.targets.call_limit(name, life)
        return TargetNotice(
            target=name,
            life=life,
            is_leaving=key in self.targets.said_leaving,
            limit=limit.calls_per_second,
            limit_stamp=limit.stamp,
        )

    def _readers(self, now: float) -> list[Peer]:
        return [peer for peer in self.peers.alive(now) if peer.reads_notices]

    def _hosts_for_news(self, now: float) -> list[str]:
        """Return the hosts that are told at once.

        In a large deployment these are the VMs of the same zone and some of each other
        zone, which tell the VMs of theirs.
        """
        readers = self._readers(now)
        if not self.peers.is_large(now):
            return [peer.host for peer in readers]
        elsewhere = set(self.peers.reporter_hosts(REPORTER_DUTY, now))
        return [
            peer.host
            for peer in readers
            if peer.zone == self.peers.zone or peer.host in elsewhere
        ]
