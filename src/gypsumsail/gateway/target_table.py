"""All targets that a VM knows."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from math import inf

from gypsumsail.cold_targets.cold_state import ColdState
from gypsumsail.cold_targets.const import SUSPENSION_SECONDS
from gypsumsail.cold_targets.models import ColdTerms
from gypsumsail.gateway.averages import AnswerTime, GenerationTime, PrefillRate
from gypsumsail.gateway.call_limit import CallLimit
from gypsumsail.gateway.const import MAX_REMEMBERED_LEAVING, MAX_REMEMBERED_LIMITS
from gypsumsail.gateway.models import Service, TargetEntry
from gypsumsail.gateway.part_cache import PartCache
from gypsumsail.gateway.targets import TargetState


@dataclass(frozen=True, slots=True, kw_only=True)
class Reachability:
    """How many targets of a service a VM reaches.

    Attributes
    ----------
    listed
        Number of targets that don't leave.
    reached
        Number of these that this VM may send calls to.
    blocked_by_reports
        Number of these that only reports of other VMs block.
    """

    listed: int
    reached: int
    blocked_by_reports: int


class TargetTable:
    """All known targets by name, with averages by service and route.

    Attributes
    ----------
    said_leaving
        Names and lives of the latest targets that said that they leave, listed or not.
    call_limits
        Limits by name and life of the target, listed or not.
    cold_terms
        Limits on cold targets by service, for services whose targets may be cold.
    cold_states
        Cold state of the latest life of each target, listed or not.
    on_cold
        Called with a target that turns cold, the remaining seconds and the source.
    noted_at
        Time of the latest call of ``note_time``.
    on_life_listed
        Called with each life of a target that is new in the table.
    on_life_ended
        Called with a target that is removed, or replaced by another life.
    """

    def __init__(self) -> None:
        self.said_leaving: dict[tuple[str, int], None] = {}
        self.call_limits: dict[tuple[str, int], CallLimit] = {}
        self.cold_terms: dict[str, ColdTerms] = {}
        self.cold_states: dict[str, ColdState] = {}
        self.on_cold: Callable[[TargetEntry, float, str], None] = (
            lambda entry, seconds, source: None
        )
        self.noted_at = inf
        self.states: dict[str, TargetState] = {}
        self.rates: dict[str, PrefillRate] = {}
        self.generation_times: dict[str, GenerationTime] = {}
        self.answer_times: dict[str, AnswerTime] = {}
        self.on_life_listed: Callable[[TargetEntry], None] = lambda entry: None
        self.on_life_ended: Callable[[TargetState], None] = lambda state: None

    def of_service(self, service: str) -> list[TargetState]:
        """Return the targets of a service."""
        return [
            state for state in self.states.values() if state.entry.service == service
        ]

    def reachability(self, service: str, now: float) -> Reachability:
        """Return how many targets of a service this VM reaches."""
        listed = [state for state in self.of_service(service) if not state.is_leaving]
        blocked = [state for state in listed if state.is_unreachable(now)]
        return Reachability(
            listed=len(listed),
            reached=len(listed) - len(blocked),
            blocked_by_reports=sum(
                not state.has_failed_attempt(now) for state in blocked
            ),
        )

    def rate(self, service: str) -> PrefillRate:
        """Return the prefill speed of a service's engines."""
        return self.rates.setdefault(service, PrefillRate())

    def generation_time(self, route: str) -> GenerationTime:
        """Return the average time that a generation of a route occupies an engine."""
        return self.generation_times.setdefault(route, GenerationTime())

    def answer_time(self, route: str) -> AnswerTime:
        """Return the time that targets take for the answers of a route."""
        return self.answer_times.setdefault(route, AnswerTime())

    def update(self, entry: TargetEntry, now: float) -> bool:
        """Apply an entry of the platform's list; return whether the state changed."""
        state = self.states.get(entry.name)
        if state is None or _is_other_life(state.entry, entry):
            if state is not None and state.entry.life != entry.life:
                self.on_life_ended(state)
            # JobPlacer sets the capacity of the cache, which depends on the service.
            state = TargetState(entry=entry, cache=PartCache(0), progress_at=now)
            state.weight_versions.update(entry.weight_versions)
            state.has_said_leaving = (entry.name, entry.life) in self.said_leaving
            state.limit = self.call_limit(entry.name, entry.life)
            self.states[entry.name] = state
            state.cold = self._cold_state(state.cold, now)
            state.cold.set_terms(self.cold_terms.get(entry.service), now)
            state.cold.record_entry(entry.cold_seconds, now)
            self.on_life_listed(entry)
            return True
        before = (state.entry.phase, dict(state.weight_versions))
        self._apply_cold(state, entry, now)
        state.entry = entry
        for model, version in entry.weight_versions.items():
            state.learn_version(model, version, now)
        return before != (entry.phase, state.weight_versions)

    def _apply_cold(self, state: TargetState, entry: TargetEntry, now: float) -> None:
        """Apply the cold time of a further entry of a life."""
        if (
            state.cold.terms is not None
            and entry.cold_seconds
            and not state.entry.cold_seconds
        ):
            # The memory of an engine that becomes cold again is empty.
            state.cache.clear()
        if entry.service != state.entry.service:
            state.cold.set_terms(self.cold_terms.get(entry.service), now)
        state.cold.zone = entry.zone
        state.cold.record_entry(entry.cold_seconds, now)

    def _cold_state(self, cold: ColdState, now: float) -> ColdState:
        """Return the cold state of a target that is new in the table.

        A life that is listed again, perhaps at another address, keeps its state. The
        time of the latest send holds for the next life as well.
        """
        before = self.cold_states.get(cold.name)
        if before is not None and before.life == cold.life:
            before.zone = cold.zone
            return before
        if before is not None:
            cold.sent_at = before.sent_at
        if len(self.cold_states) >= MAX_REMEMBERED_LIMITS:
            self.cold_states = {name: state.cold for name, state in self.states.items()}
        cold.on_cold = partial(self._report_cold, cold.name)
        self.cold_states[cold.name] = cold
        return cold

    def _report_cold(self, name: str, seconds: float, source: str, now: float) -> None:
        state = self.states.get(name)
        if state is not None:
            self.on_cold(state.entry, seconds, source)

    def set_cold_terms(self, services: Mapping[str, Service], now: float) -> None:
        """Apply what a routing document states about cold targets."""
        self.cold_terms = {
            service.name: service.cold
            for service in services.values()
            if service.cold is not None
        }
        for state in self.states.values():
            state.cold.set_terms(self.cold_terms.get(state.entry.service), now)

    def note_time(self, now: float) -> None:
        """Count targets that may be cold as lost after a suspension of this VM.

        They may have started again meanwhile, and calls have waited here.
        """
        if now - self.noted_at > SUSPENSION_SECONDS:
            for state in self.states.values():
                if state.cold.terms is not None:
                    state.cold.lose_contact(now)
        self.noted_at = now

    def expect_cold_zone(self, zone: str, now: float) -> None:
        """Record that the targets of a zone are cold, as at an evacuation's end."""
        for cold in self.cold_states.values():
            if cold.zone == zone:
                cold.expect_cold(now)

    def call_limit(self, name: str, life: int) -> CallLimit:
        """Return the limit of a target, which need not be listed yet."""
        key = (name, life)
        found = self.call_limits.get(key)
        if found is None:
            if len(self.call_limits) >= MAX_REMEMBERED_LIMITS:
                self._forget_unlisted_limits()
            found = self.call_limits[key] = CallLimit()
        return found

    def _forget_unlisted_limits(self) -> None:
        self.call_limits = {
            (state.entry.name, state.entry.life): state.limit
            for state in self.states.values()
        }

    def record_leaving(self, name: str, life: int) -> bool:
        """Record that a target said that it leaves; return whether that is news."""
        if (name, life) in self.said_leaving:
            return False
        self.said_leaving[(name, life)] = None
        if len(self.said_leaving) > MAX_REMEMBERED_LEAVING:
            del self.said_leaving[next(iter(self.said_leaving))]
        state = self.states.get(name)
        if state is not None and state.entry.life == life:
            state.has_said_leaving = True
        return True

    def remove(self, name: str) -> None:
        """Remove a target."""
        state = self.states.pop(name, None)
        if state is not None:
            self.on_life_ended(state)


def _is_other_life(before: TargetEntry, after: TargetEntry) -> bool:
    return (before.life, before.address) != (after.life, after.address)
