"""Tracks the load of each engine from its reports and the requests sent since."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from gypsumsail.routing.const import (
    DEFAULT_DECODE_STEP_SECONDS,
    DEFAULT_PREFILL_TOKENS_PER_SECOND,
    MAX_PENDING_CHOICES,
    MIN_OBSERVED_TOKENS,
    NO_REPORT_AGE_SECONDS,
    PEER_WORK_LIFETIME_SECONDS,
    PRIORITY_DECAY,
    PRIORITY_LEVELS,
)
from gypsumsail.routing.models import Candidate, EngineRates
from gypsumsail.routing.rates import RateEstimate
from gypsumsail.targets.port import LoadReport


@dataclass(slots=True, kw_only=True)
class SentWork:
    """A request that this entry or a peer has sent to an engine.

    Attributes
    ----------
    tokens
        Prompt tokens that the engine was expected to compute.
    tokens_ahead
        Prompt tokens that were believed to be queued ahead of the request.
    imported
        Whether the engine imported blocks for the request.
    first_token_at
        Time of the first token; ``None`` until it arrives.
    """

    tokens: int
    tokens_ahead: float
    priority: int
    sent_at: float
    imported: bool = False
    first_token_at: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetWork:
    """Work and the engine to which it was sent."""

    target: str
    work: SentWork


@dataclass(slots=True, kw_only=True)
class EngineLoad:
    """Last report of one engine and the work sent to it.

    Attributes
    ----------
    report
        Last load report; ``None`` before the first one.
    sampled_at
        Time at which the engine took the last report.
    sent
        Work sent by this entry, by attempt ID.
    peer_work
        Work sent by other entries since ``sampled_at``.
    prefill, decode
        Estimated prompt tokens per second and answer tokens per second.
    """

    report: LoadReport | None = None
    sampled_at: float = 0.0
    sent: dict[str, SentWork] = field(default_factory=dict)
    peer_work: list[SentWork] = field(default_factory=list)
    prefill: RateEstimate = field(
        default_factory=lambda: RateEstimate(prior=DEFAULT_PREFILL_TOKENS_PER_SECOND)
    )
    decode: RateEstimate = field(
        default_factory=lambda: RateEstimate(prior=1 / DEFAULT_DECODE_STEP_SECONDS)
    )

    def tokens_ahead(
        self, priority: int, *, urgent_share: float, rate: float, now: float
    ) -> float:
        """Return the prompt tokens that are computed before a request of a priority.

        The reported queue shrinks at the learned ``rate`` from the time of the report.
        The share ``urgent_share`` of the queue is assumed to be at least as urgent as
        the request.
        """
        reported = 0.0
        if self.report is not None:
            drained = (now - self.sampled_at) * rate
            reported = max(self.report.queued_prompt_tokens - drained, 0.0)
        return reported * urgent_share + sum(
            work.tokens for work in self.unreported() if work.priority <= priority
        )

    def requests(self) -> int:
        """Return the number of requests believed to be running or waiting."""
        reported = 0
        if self.report is not None:
            reported = self.report.running + self.report.waiting
        return reported + len(self.unreported())

    def unreported(self) -> list[SentWork]:
        """Return the work sent since the last report that has no first token yet."""
        return [
            work
            for work in (*self.sent.values(), *self.peer_work)
            if work.first_token_at is None and work.sent_at >= self.sampled_at
        ]


class EngineLoads:
    """Loads of all engines as seen by one entry.

    Attributes
    ----------
    engines
        Load by target.
    tokens_by_priority
        Decayed sum of prompt tokens sent by priority. It gives the share of a reported
        queue that is as urgent as a request.
    fleet_prefill
        Prefill speed over all engines, assumed for an engine with few observations.
    pending_choices
        Work sent by this entry that has not been broadcast to the other entries; at
        most the last `MAX_PENDING_CHOICES` requests.
    """

    def __init__(self) -> None:
        self.engines: dict[str, EngineLoad] = {}
        self.tokens_by_priority = [1.0] * PRIORITY_LEVELS
        self.fleet_prefill = RateEstimate(prior=DEFAULT_PREFILL_TOKENS_PER_SECOND)
        self.pending_choices: deque[TargetWork] = deque(maxlen=MAX_PENDING_CHOICES)

    def on_report(self, target: str, report: LoadReport, *, now: float) -> None:
        """Record a load report; a report older than the last one is dropped.

        If the engine has restarted, the report is always accepted and the work sent
        before is dropped; the estimated speeds are retained.
        """
        load = self._load(target)
        sampled_at = now - max(report.age, 0.0)
        known = load.report
        if known is not None and known.incarnation != report.incarnation:
            load.sent.clear()
            load.peer_work.clear()
        elif known is not None and sampled_at < load.sampled_at:
            return
        load.report = report
        load.sampled_at = sampled_at
        load.peer_work = [work for work in load.peer_work if work.sent_at >= sampled_at]

    def on_sent(self, target: str, attempt_id: str, work: SentWork) -> None:
        """Record a request that this entry sends."""
        self._load(target).sent[attempt_id] = work
        self.pending_choices.append(TargetWork(target=target, work=work))
        self.tokens_by_priority = [
            PRIORITY_DECAY * tokens for tokens in self.tokens_by_priority
        ]
        self.tokens_by_priority[work.priority] += work.tokens

    def on_peer_sent(self, target: str, work: SentWork) -> None:
        """Record work that another entry has sent."""
        load = self._load(target)
        if work.sent_at < load.sampled_at:
            return
        oldest = work.sent_at - PEER_WORK_LIFETIME_SECONDS
        load.peer_work = [known for known in load.peer_work if known.sent_at > oldest]
        load.peer_work.append(work)

    def on_first_token(self, target: str, attempt_id: str, *, now: float) -> None:
        """Update the estimates of the prefill speed.

        Requests with few tokens to compute, their own and those ahead of them, are
        ignored, because overhead dominates their time. Requests with imports are
        ignored as well, because part of their time is spent on the transfer.
        """
        load = self._load(target)
        work = load.sent.get(attempt_id)
        if work is None or work.first_token_at is not None:
            return
        work.first_token_at = now
        done = work.tokens + work.tokens_ahead
        if not work.imported and done >= MIN_OBSERVED_TOKENS:
            load.prefill.observe(done, now - work.sent_at, now=now)
            self.fleet_prefill.observe(done, now - work.sent_at, now=now)

    def on_ended(
        self, target: str, attempt_id: str, *, answer_tokens: int, now: float
    ) -> None:
        """Remove a request; update the decode speed if it has an answer."""
        load = self._load(target)
        work = load.sent.pop(attempt_id, None)
        if work is None or work.first_token_at is None:
            return
        load.decode.observe(answer_tokens - 1, now - work.first_token_at, now=now)

    def prefill_rate(self, target: str, *, now: float) -> float:
        """Return the prompt tokens per second that an engine computes."""
        return self._rate(self._load(target), now)

    def backlog_seconds(self, targets: Iterable[str], *, now: float) -> float:
        """Return the wait at the least loaded of some engines in seconds; 0 if none."""
        waits = (self._wait(self._load(target), now) for target in targets)
        return min(waits, default=0.0)

    def forget(self, target: str) -> None:
        """Remove an engine that no longer exists."""
        self.engines.pop(target, None)

    def candidate(
        self,
        target: str,
        *,
        cached_blocks: int,
        priority: int,
        round_trip_seconds: float,
        now: float,
    ) -> Candidate:
        """Return the state of an engine as a candidate for one request."""
        load = self._load(target)
        staleness = NO_REPORT_AGE_SECONDS
        if load.report is not None:
            staleness = max(now - load.sampled_at, 0.0)
        rate = self._rate(load, now)
        share = sum(self.tokens_by_priority[: priority + 1]) / sum(
            self.tokens_by_priority
        )
        return Candidate(
            target=target,
            cached_blocks=cached_blocks,
            requests=load.requests(),
            tokens_ahead=load.tokens_ahead(
                priority, urgent_share=share, rate=rate, now=now
            ),
            staleness=staleness,
            round_trip_seconds=round_trip_seconds,
            rates=EngineRates(
                prefill_tokens_per_second=rate,
                decode_step_seconds=1 / load.decode.rate(now=now),
            ),
        )

    def _load(self, target: str) -> EngineLoad:
        load = self.engines.get(target)
        if load is None:
            load = self.engines[target] = EngineLoad()
        return load

    def _rate(self, load: EngineLoad, now: float) -> float:
        return load.prefill.rate(now=now, prior=self.fleet_prefill.rate(now=now))

    def _wait(self, load: EngineLoad, now: float) -> float:
        rate = self._rate(load, now)
        least_urgent = PRIORITY_LEVELS - 1
        ahead = load.tokens_ahead(least_urgent, urgent_share=1.0, rate=rate, now=now)
        return ahead / rate
