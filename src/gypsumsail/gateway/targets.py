"""Estimated state of each target, and the calls of this VM in flight there."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp

from gypsumsail.cold_targets.cold_state import ColdState
from gypsumsail.cold_targets.const import MIN_CONTACT_CHECK_SECONDS
from gypsumsail.gateway.call_limit import CallLimit
from gypsumsail.gateway.const import (
    CONNECT_SECONDS,
    DURATION_DECAY_SECONDS,
    DURATION_SMOOTHING,
    FAILURE_DECAY_SECONDS,
    INITIAL_CALL_SECONDS,
    MAX_BLOCK_SECONDS,
    MAX_LOADING_SECONDS,
    MIN_BLOCK_SECONDS,
    PEER_LOAD_MAX_AGE_SECONDS,
    RECENT_SENDS_SECONDS,
    REJECTION_PAUSE_SECONDS,
    REPORTED_LOAD_MAX_AGE_SECONDS,
    STALL_MIN_REPORTS,
    STALL_SECONDS,
    UNREACHABLE_MIN_REPORTS,
    UNREACHABLE_REPORT_MAX_AGE_SECONDS,
)
from gypsumsail.gateway.limit_slots import LimitSharing, LimitSlots
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.part_cache import PartCache
from gypsumsail.gateway.target_pause import TargetPause


@dataclass(slots=True, kw_only=True)
class InFlightCall:
    """One call of this VM at a target.

    Attributes
    ----------
    tokens
        Memory in tokens that the generation occupies at its end.
    pending_prefill_tokens
        Prompt tokens of the call that are still to be prefilled.
    tokens_ahead
        Prompt tokens of other calls that were to be prefilled first.
    placed_at
        Time at which the call was placed on the target.
    expected_at
        Time by which progress is expected.
    has_first_token
        Whether the first token has arrived.
    """

    tokens: int
    pending_prefill_tokens: int
    tokens_ahead: int
    placed_at: float
    progress_at: float
    expected_at: float
    has_first_token: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerTargetLoad:
    """Load that another VM, or all VMs of a zone, have at a target, as reported.

    Attributes
    ----------
    stalled_vms
        Number of these VMs to which the target seems stalled.
    """

    calls: int
    tokens: int
    pending_prefill_tokens: int
    at: float
    stalled_vms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class UnreachableReport:
    """Repeated report of another VM that it can't connect to a target.

    Attributes
    ----------
    since, at
        Times of the first report without one to the contrary, and of the latest.
    """

    since: float
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetReportedLoad:
    """Load that a target reported with an answer.

    Attributes
    ----------
    work_factor
        How long work takes on the target's machine, as a multiple of the usual time;
        ``None`` if the target states no valid one.
    invalid_factor
        Text of an invalid factor; empty without one.
    """

    running: int
    waiting: int
    at: float
    work_factor: float | None = None
    invalid_factor: str = ""


@dataclass(slots=True)
class TargetState:
    """Estimated state of one life (incarnation) of a target.

    Attributes
    ----------
    is_listed_leaving
        Whether the target is listed as leaving. The owner of the target list sets it
        after each update; placement reads it instead of the phase of the entry.
    has_said_leaving
        Whether the target has said in an answer that it leaves. Only another life ends
        that.
    pause
        Pause that the target asked this VM for.
    in_flight
        Calls of this VM at the target, by id.
    peers
        Latest load report of each other VM, or of all VMs of other zones.
    reported
        Latest load report of the target itself.
    blocked_until
        Time until which the target gets no call after a failed connection attempt.
    block_seconds
        Duration of the current block; it doubles with each failed attempt.
    needs_check
        Whether the target gets no call until a connection to it has opened.
    connected_at
        Time at which a connection to the target last opened.
    unreachable_reports
        Reports of other VMs of the zone that the target is unreachable.
    paused_until
        Time until which the target gets no call, because it is assumed to load other
        weights or has rejected a call.
    failures, results
        Decayed counts of failed and of all recent calls, as of ``result_at``.
    usual_seconds
        Average duration of a call, including the time in the target's own queue.
    answered_at
        Time of the latest complete answer.
    progress_at
        Time at which the target last made progress on a call of this VM.
    limit
        Limit that the target names for the calls of all VMs.
    limit_slots
        Times at which this VM may send a call while there is a limit.
    sends
        Times at which this VM has recently placed calls on the target.
    cold
        Whether the target is cold, and the sends to it while it is.
    has_invalid_factor
        Whether the target has stated an invalid work factor.
    """

    entry: TargetEntry
    cache: PartCache
    is_listed_leaving: bool = False
    has_said_leaving: bool = False
    pause: TargetPause = field(default_factory=TargetPause)
    in_flight: dict[int, InFlightCall] = field(default_factory=dict)
    peers: dict[str, PeerTargetLoad] = field(default_factory=dict)
    reported: TargetReportedLoad | None = None
    weight_versions: dict[str, int] = field(default_factory=dict)
    blocked_until: float = 0.0
    block_seconds: float = 0.0
    needs_check: bool = False
    connected_at: float = float("-inf")
    unreachable_reports: dict[str, UnreachableReport] = field(default_factory=dict)
    paused_until: float = 0.0
    failures: float = 0.0
    results: float = 0.0
    result_at: float = 0.0
    usual_seconds: float = INITIAL_CALL_SECONDS
    answered_at: float = float("-inf")
    progress_at: float = 0.0
    last_in_flight_id: int = 0
    limit: CallLimit = field(default_factory=CallLimit)
    limit_slots: LimitSlots = field(init=False)
    sends: deque[float] = field(default_factory=deque)
    cold: ColdState = field(init=False)
    has_invalid_factor: bool = False

    def __post_init__(self) -> None:
        """Set the attributes that depend on the entry."""
        entry = self.entry
        self.limit_slots = LimitSlots(entry.name)
        self.cold = ColdState(name=entry.name, life=entry.life, zone=entry.zone)

    @property
    def is_leaving(self) -> bool:
        """Return whether the target gets no new calls because it leaves."""
        return self.is_listed_leaving or self.has_said_leaving

    @property
    def contact_at(self) -> float:
        """Return the time at which this VM last had contact with the target."""
        return max(self.connected_at, self.progress_at)

    def is_within_limit(self, sharing: LimitSharing, now: float) -> bool:
        """Return whether the limit of the target lets this VM send a call now."""
        limit = self.limit.calls_per_second
        return limit is None or self.limit_slots.allows(limit, sharing, now)

    def count_call(self, now: float) -> None:
        """Count a call that is about to be sent against the limits of the target."""
        self.pause.count_call(now)
        self.cold.count_call(now)
        if self.limit.calls_per_second is not None:
            self.limit_slots.take()

    def seconds_until_allowed(self, sharing: LimitSharing, now: float) -> float:
        """Return the seconds until pause and limit of the target allow a call."""
        pause_seconds = max(self.pause.until - now, 0.0)
        limit = self.limit.calls_per_second
        if limit is None:
            return pause_seconds
        return max(
            pause_seconds, self.limit_slots.seconds_until_allowed(limit, sharing, now)
        )

    def record_load(self, load: TargetReportedLoad) -> bool:
        """Record a load report; return whether its work factor is newly invalid."""
        self.reported = load
        if not load.invalid_factor or self.has_invalid_factor:
            return False
        self.has_invalid_factor = True
        return True

    def begin(self, in_flight_call: InFlightCall) -> int:
        """Add a call in flight and return its id."""
        self.last_in_flight_id += 1
        self.sends.append(in_flight_call.placed_at)
        self.recent_sends(in_flight_call.placed_at)
        self.in_flight[self.last_in_flight_id] = in_flight_call
        return self.last_in_flight_id

    def recent_sends(self, now: float) -> int:
        """Return how many calls this VM has placed in ``RECENT_SENDS_SECONDS``."""
        while self.sends and self.sends[0] <= now - RECENT_SENDS_SECONDS:
            self.sends.popleft()
        return len(self.sends)

    def record_progress(
        self, in_flight_id: int, now: float, expected_within: float
    ) -> None:
        """Record progress of a call.

        Parameters
        ----------
        expected_within
            Seconds within which the next progress is expected.
        """
        self.progress_at = now
        self.cold.record_contact(now)
        in_flight_call = self.in_flight.get(in_flight_id)
        if in_flight_call is None:
            return
        in_flight_call.has_first_token = True
        in_flight_call.pending_prefill_tokens = 0
        in_flight_call.progress_at = now
        in_flight_call.expected_at = now + expected_within

    def end(self, in_flight_id: int) -> None:
        """Remove a call in flight."""
        self.in_flight.pop(in_flight_id, None)

    def peer_loads(self, now: float) -> Iterable[PeerTargetLoad]:
        """Return the load reports of other VMs that are recent enough."""
        return (
            load
            for load in self.peers.values()
            if now - load.at < PEER_LOAD_MAX_AGE_SECONDS
        )

    def own_load(self, now: float) -> PeerTargetLoad:
        """Return the load of this VM at the target."""
        flights = self.in_flight.values()
        return PeerTargetLoad(
            calls=len(flights),
            tokens=sum(flight.tokens for flight in flights),
            pending_prefill_tokens=sum(
                flight.pending_prefill_tokens for flight in flights
            ),
            at=now,
            stalled_vms=int(self.is_stalled_locally(now)),
        )

    def calls(self, now: float) -> int:
        """Return the estimated number of calls of all VMs at the target."""
        known = len(self.in_flight) + sum(load.calls for load in self.peer_loads(now))
        reported = self.reported
        if reported is None or now - reported.at >= REPORTED_LOAD_MAX_AGE_SECONDS:
            return known
        return max(known, reported.running + reported.waiting)

    def work_factor(self, now: float) -> float:
        """Return how long work takes at the target, as a multiple of the usual time."""
        reported = self.reported
        if reported is None or reported.work_factor is None:
            return 1.0
        if now - reported.at >= REPORTED_LOAD_MAX_AGE_SECONDS:
            return 1.0
        return reported.work_factor

    def tokens(self, now: float) -> int:
        """Return the estimated memory of the calls at the target, in tokens."""
        own = sum(in_flight_call.tokens for in_flight_call in self.in_flight.values())
        return own + sum(load.tokens for load in self.peer_loads(now))

    def pending_prefill_tokens(self, now: float) -> int:
        """Return the estimated prompt tokens that are still to be prefilled."""
        own = sum(
            in_flight_call.pending_prefill_tokens
            for in_flight_call in self.in_flight.values()
        )
        return own + sum(load.pending_prefill_tokens for load in self.peer_loads(now))

    def is_stalled(self, now: float) -> bool:
        """Return whether the target seems stalled, to this VM or to enough others."""
        if self.is_stalled_locally(now):
            return True
        stalled_vms = sum(load.stalled_vms for load in self.peer_loads(now))
        if stalled_vms < STALL_MIN_REPORTS:
            return False
        return self.progress_at < now - STALL_SECONDS

    def is_stalled_locally(self, now: float) -> bool:
        """Return whether a call of this VM is overdue and no other made progress."""
        return any(
            now > in_flight_call.expected_at + STALL_SECONDS
            and self.progress_at < in_flight_call.expected_at
            for in_flight_call in self.in_flight.values()
        )

    def failure_share(self, now: float) -> float:
        """Return the share of recent calls that failed; it decays to zero with time."""
        if not self.results:
            return 0.0
        decay = exp(-(now - self.result_at) / FAILURE_DECAY_SECONDS)
        return self.failures * decay / (self.results * decay + 1.0)

    def record_success(self, now: float, seconds: float) -> None:
        """Record a complete answer and its duration in seconds."""
        self._add_result(now, 0.0)
        self.needs_check = False
        self.block_seconds = 0.0
        self.progress_at = now
        self.cold.record_contact(now)
        share = max(1.0 - self._duration_weight(now), DURATION_SMOOTHING)
        self.usual_seconds += share * (seconds - self.usual_seconds)
        self.answered_at = now

    def expected_seconds(self, fastest_seconds: float, now: float) -> float:
        """Return the expected duration of a call.

        A target that has not answered for long is assumed to be as fast as the others.
        Otherwise a target that was slow once would get no calls, and never show that
        it is fast again.

        Parameters
        ----------
        fastest_seconds
            Average duration of a call at the fastest target of the service.
        """
        excess = self.usual_seconds - fastest_seconds
        return fastest_seconds + self._duration_weight(now) * excess

    def _duration_weight(self, now: float) -> float:
        """Return the weight of the average duration after the time without answers."""
        return exp(-max(now - self.answered_at, 0.0) / DURATION_DECAY_SECONDS)

    def record_failure(self, now: float) -> None:
        """Record a call that the target failed or aborted."""
        self._add_result(now, 1.0)

    def record_break(self, now: float) -> None:
        """Record a call without a whole answer, after which the target may be cold."""
        self.record_failure(now)
        self.cold.lose_contact(now)

    def record_silence(self, now: float) -> None:
        """Record a call that was abandoned because the target was silent."""
        self.record_failure(now)
        self.cold.note_silence(now)

    def is_contact_check_due(self, now: float) -> bool:
        """Return whether a connection should show if a silent target is back.

        A target of a service with cold targets may be cold after it stalled without
        writing its entry, or after other VMs could not connect to it.
        """
        if self.cold.terms is None:
            return False
        if self.is_stalled_locally(now):
            self.cold.note_silence(now)
        if self.is_reported_unreachable(now) and not self._has_earlier_call(now):
            self.cold.lose_contact(now)
        if not self.cold.is_contact_lost:
            return False
        return now - self.connected_at >= MIN_CONTACT_CHECK_SECONDS

    def _has_earlier_call(self, now: float) -> bool:
        """Return whether a call from before the reports of other VMs is in flight.

        It would have broken if the target had ended; these VMs may be cut off.
        """
        oldest = now - UNREACHABLE_REPORT_MAX_AGE_SECONDS - CONNECT_SECONDS
        return any(flight.placed_at < oldest for flight in self.in_flight.values())

    def mark_unreachable(self, now: float) -> None:
        """Record a failed connection attempt and block the target for a while."""
        self.record_break(now)
        doubled = max(self.block_seconds * 2, MIN_BLOCK_SECONDS)
        self.block_seconds = min(doubled, MAX_BLOCK_SECONDS)
        self.blocked_until = now + self.block_seconds
        self.needs_check = True

    def mark_reachable(self, now: float) -> None:
        """Record an opened connection and unblock the target."""
        self.connected_at = now
        self.cold.record_contact(now)
        self.blocked_until = now
        self.block_seconds = 0.0
        self.needs_check = False

    def is_unreachable(self, now: float) -> bool:
        """Return whether the target gets no calls of this VM.

        Reports of other VMs hold calls back only until this VM has tried a connection.
        """
        return self.has_failed_attempt(now) or self.is_reported_unreachable(now)

    def has_failed_attempt(self, now: float) -> bool:
        """Return whether this VM's own attempt to connect has failed."""
        return self.needs_check or self.blocked_until > now

    def record_unreachable_report(self, vm: str, now: float) -> None:
        """Record that another VM of the zone can't connect to the target."""
        earlier = self.unreachable_reports.get(vm)
        since = earlier.since if earlier is not None else now
        self.unreachable_reports[vm] = UnreachableReport(since=since, at=now)

    def is_reported_unreachable(self, now: float) -> bool:
        """Return whether others report the target that this VM has not reached since.

        They may be cut off themselves, and repeat it for as long as they are.
        """
        oldest = now - UNREACHABLE_REPORT_MAX_AGE_SECONDS
        reports = [
            report for report in self.unreachable_reports.values() if report.at > oldest
        ]
        if len(reports) < UNREACHABLE_MIN_REPORTS:
            return False
        return self.contact_at < min(report.since for report in reports)

    def expect_weight_loading(self, now: float) -> None:
        """Record that an order to load other weights was sent."""
        self.paused_until = now + MAX_LOADING_SECONDS

    def record_rejection(self, now: float) -> None:
        """Record that the target rejected a call: it is full or loads other weights."""
        self.paused_until = max(self.paused_until, now + REJECTION_PAUSE_SECONDS)

    def handle_version_mismatch(
        self, model: str, stated: int | None, wanted: int | None, now: float
    ) -> None:
        """Record that the target has other weights than expected.

        Parameters
        ----------
        stated
            Version that the target stated; ``None`` where it stated none.
        wanted
            Version that the operator wants; ``None`` where none is known.
        """
        known_version = self.weight_versions.get(model, 0)
        if stated is not None and stated != known_version:
            self.weight_versions[model] = stated
            self.cache.clear()
        # An engine that states no version is assumed to have loaded the wanted one.
        elif stated is None and wanted is not None and known_version < wanted:
            self.weight_versions[model] = wanted
            self.cache.clear()
        else:
            self.record_rejection(now)

    def learn_version(self, model: str, version: int, now: float) -> None:
        """Record a newer weight version, which an answer or the list states.

        An older version is ignored.
        """
        if version > self.weight_versions.get(model, 0):
            self.weight_versions[model] = version
            self.paused_until = min(self.paused_until, now)
            self.cache.clear()

    def _add_result(self, now: float, failure: float) -> None:
        decay = exp(-max(now - self.result_at, 0.0) / FAILURE_DECAY_SECONDS)
        self.failures = self.failures * decay + failure
        self.results = self.results * decay + 1.0
        self.result_at = now
