"""Detection of requests that crash the targets that run them.

The VMs share their records, so that such a request is blocked on every VM.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

MIN_CRASHED_LIVES: Final = 3
"""Lives (incarnations) of targets that a request must have crashed to be blocked."""
MAX_FINGERPRINTS: Final = 5_000
"""Fingerprints that are kept; the least recently recorded are evicted first."""
MAX_FAILURES_PER_REQUEST: Final = 16
"""Latest failures of an answered request that are kept."""
MAX_ENDED_LIVES: Final = 4_096
"""Latest lives of targets that have ended and are remembered."""
MAX_END_DELAY_SECONDS: Final = 30.0
"""Longest time from a failure to the news that the target's life has ended.

The platform lists a crashed target for some heartbeats, and the store may be away.
"""
MAX_FAILURE_DELAY_SECONDS: Final = 2.0
"""Longest time from that news to the failure.

A target that leaves without announcing it serves on for longer after its removal.
"""
MAX_TOLD_REQUESTS: Final = 100
"""Maximum number of blocked requests that a started VM is told."""
REPORT_AGE_SECONDS: Final = 1.0
"""Time for which a request that another VM reports is assumed to have been running."""

TargetLife = tuple[str, int]
"""Name of a target and its life: the time at which that incarnation started."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Failure:
    """Failure of a request that was answered before.

    Attributes
    ----------
    sent_at, failed_at
        Monotonic time of the send and of the failure, in seconds.
    is_reported
        Whether another VM has reported it.
    """

    sent_at: float
    failed_at: float
    is_reported: bool

    def is_explained_by(self, ended_at: float | None) -> bool:
        """Return whether the end of the target's life makes the failure a crash."""
        if ended_at is None:
            return False
        delay = ended_at - self.failed_at
        return -MAX_FAILURE_DELAY_SECONDS <= delay <= MAX_END_DELAY_SECONDS


class CrashSuspectTracker:
    """Target lives that failed while they ran each request.

    A target that crashes fails its whole batch, so that every request of the batch is
    recorded once. Only a request that crashes several lives is blocked.

    A lost connection may also mean that a link was cut. A failure of a request that was
    answered is a crash only if the target's life ends as well. Of such crashes, those
    that overlap count once: several targets that are ended together fail a request
    that is popular on all of them.

    Attributes
    ----------
    crashed_lives
        Lives that failed under each request that was not answered.
    answered
        Fingerprints of the latest requests that targets answered for this VM.
    failures
        Failures of answered requests since the latest answer, by life.
    ended
        Monotonic time, in seconds, of the news that a life has ended.
    """

    def __init__(self) -> None:
        self.crashed_lives: OrderedDict[str, set[TargetLife]] = OrderedDict()
        self.unsent: list[tuple[str, str, int]] = []
        self.answered: OrderedDict[str, None] = OrderedDict()
        self.failures: dict[str, OrderedDict[TargetLife, _Failure]] = {}
        self.ended: OrderedDict[TargetLife, float] = OrderedDict()

    def is_blocked(self, fingerprint: str) -> bool:
        """Return whether the request is to be refused."""
        return self.crashes(fingerprint) >= MIN_CRASHED_LIVES

    def crashes(self, fingerprint: str) -> int:
        """Return the number of target lives that the request has crashed."""
        if fingerprint not in self.answered:
            return len(self.crashed_lives.get(fingerprint, ()))
        if fingerprint not in self.failures:
            return 0
        return _count_successive(
            failure
            for life, failure in self.failures[fingerprint].items()
            if failure.is_explained_by(self.ended.get(life))
        )

    def record_local(
        self, fingerprint: str, target: str, life: int, *, sent_at: float, now: float
    ) -> None:
        """Record a failure that this VM saw, and queue it for the peers."""
        failure = _Failure(sent_at=sent_at, failed_at=now, is_reported=False)
        if self._record(fingerprint, (target, life), failure):
            self.unsent.append((fingerprint, target, life))

    def record_reported(
        self, fingerprint: str, target: str, life: int, now: float
    ) -> None:
        """Record a failure that another VM reports."""
        failure = _Failure(
            sent_at=now - REPORT_AGE_SECONDS, failed_at=now, is_reported=True
        )
        self._record(fingerprint, (target, life), failure)

    def record_answered(self, fingerprint: str) -> None:
        """Record a complete answer; it refutes the earlier failures."""
        self.crashed_lives.pop(fingerprint, None)
        self.failures.pop(fingerprint, None)
        self.answered[fingerprint] = None
        self.answered.move_to_end(fingerprint)
        if len(self.answered) > MAX_FINGERPRINTS:
            evicted, _ = self.answered.popitem(last=False)
            self.failures.pop(evicted, None)

    def record_end(self, target: str, life: int, now: float) -> None:
        """Record the news that a life has ended; queue its crashes for the peers."""
        ended = (target, life)
        self.ended[ended] = now
        if len(self.ended) > MAX_ENDED_LIVES:
            self.ended.popitem(last=False)
        for fingerprint, failures in self.failures.items():
            failure = failures.get(ended)
            if failure is None or failure.is_reported:
                continue
            if failure.is_explained_by(now):
                self.unsent.append((fingerprint, target, life))

    def record_listed(self, target: str, life: int) -> None:
        """Record that a life is listed, which refutes earlier news of its end."""
        self.ended.pop((target, life), None)

    def _record(self, fingerprint: str, life: TargetLife, failure: _Failure) -> bool:
        """Record a failure; return whether it was unknown and counts as a crash."""
        if fingerprint in self.answered:
            failures = self.failures.setdefault(fingerprint, OrderedDict())
            if life in failures:
                return False
            failures[life] = failure
            if len(failures) > MAX_FAILURES_PER_REQUEST:
                failures.popitem(last=False)
            return failure.is_explained_by(self.ended.get(life))
        crashed_lives = self.crashed_lives.setdefault(fingerprint, set())
        self.crashed_lives.move_to_end(fingerprint)
        if life in crashed_lives:
            return False
        crashed_lives.add(life)
        while len(self.crashed_lives) > MAX_FINGERPRINTS:
            self.crashed_lives.popitem(last=False)
        return True

    def blocked_to_tell(self) -> list[tuple[str, str, int]]:
        """Return the crashes of blocked requests, of the latest ones first.

        There are just enough of each for another VM to block it as well.
        """
        found: list[tuple[str, str, int]] = []
        for fingerprint in self._latest_blocked():
            lives = self.crashed_lives.get(fingerprint) or self.failures[fingerprint]
            found += [
                (fingerprint, target, life)
                for target, life in list(lives)[-MIN_CRASHED_LIVES:]
            ]
        return found

    def _latest_blocked(self) -> list[str]:
        suspects = [*self.crashed_lives, *self.failures]
        blocked = [item for item in reversed(suspects) if self.is_blocked(item)]
        return blocked[:MAX_TOLD_REQUESTS]

    def take_unsent(self, limit: int) -> list[tuple[str, str, int]]:
        """Remove and return up to ``limit`` records that peers have not been sent."""
        unsent, self.unsent = self.unsent[:limit], self.unsent[limit:]
        return unsent


def _count_successive(failures: Iterable[_Failure]) -> int:
    """Return how many failures there are of which each was sent after the last one."""
    count = 0
    last_failed_at = float("-inf")
    for failure in sorted(failures, key=lambda failure: failure.failed_at):
        if failure.sent_at >= last_failed_at:
            count += 1
            last_failed_at = failure.failed_at
    return count
