"""Which version of its targets' software (build) began each stream.

What two builds write does not fit together, and targets do not check it. A stream is
therefore taken up only at the build that began it. A VM knows the build of the streams
that it began itself and of those that other VMs told it. While only one build serves,
nothing has to be told: then that build began every stream.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from gypsumsail.gateway.const import DEFAULT_TIMEOUT_SECONDS
from gypsumsail.gateway.models import RoutingDocument, TargetEntry

NOTE_INTERVAL_SECONDS: Final = 0.5
"""Pause between looks at the builds of all listed targets."""
MAX_NOTE_GAP_SECONDS: Final = 2.0
"""Pause, such as a suspension, after which builds may have been missed."""
MAX_RETURN_SECONDS: Final = 60.0
"""Time after its begin from which a stream is not taken up any more, at most."""
MAX_STREAMS: Final = 20_000
"""Streams whose build is kept; the oldest are evicted first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamBegin:
    """A stream of which a first event has come.

    Attributes
    ----------
    stream
        Id of the request that began the stream.
    """

    stream: str
    service: str
    build: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedBuilds:
    """Builds of all targets that were listed in some seconds until a time.

    Attributes
    ----------
    services
        Pairs of a service and a build, in fixed order.
    seconds
        Length of that time.
    """

    services: tuple[tuple[str, str], ...]
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Record:
    begin: StreamBegin
    is_own: bool
    expires_at: float


@dataclass(slots=True)
class _ServiceBuilds:
    """Time at which targets of each build were last listed."""

    listed_at: dict[str, float] = field(default_factory=dict)


class StreamBuilds:
    """Builds of streams and of targets, as far as this VM knows.

    Attributes
    ----------
    return_seconds
        Longest time after its begin at which a stream may be taken up; ``None`` before
        the first document. It never falls, because streams that began under an earlier
        document are still taken up.
    observed_since
        Time since which this VM has looked at the listed targets without a gap.
    are_listed
        Whether the targets had been listed at the latest look.
    """

    def __init__(self, now: float) -> None:
        self.return_seconds: float | None = None
        self.observed_since = now
        self.noted_at = float("-inf")
        self.are_listed = False
        self.records: OrderedDict[str, _Record] = OrderedDict()
        self.services: dict[str, _ServiceBuilds] = {}

    def note_return(self, seconds: float) -> None:
        """Note a timeout of a route, or the deadline of a caller, for streams."""
        self.return_seconds = max(
            self.return_seconds or 0.0, min(seconds, MAX_RETURN_SECONDS)
        )

    def _longest_return(self) -> float:
        if self.return_seconds is None:
            return MAX_RETURN_SECONDS
        return self.return_seconds

    def note_targets(
        self, entries: Iterable[TargetEntry], now: float, *, are_listed: bool = True
    ) -> None:
        """Note the builds of all listed targets, if it is time.

        Parameters
        ----------
        are_listed
            Whether this VM has listed the targets since its start.
        """
        gap = now - self.noted_at
        if 0 <= gap < NOTE_INTERVAL_SECONDS:
            return
        if gap > MAX_NOTE_GAP_SECONDS or not self.are_listed:
            self.observed_since = now
        self.are_listed = are_listed
        self.noted_at = now
        for entry in entries:
            self.note_entry(entry, now)
        self._forget_expired(now)

    def note_entry(self, entry: TargetEntry, now: float) -> None:
        """Note the build of a target that is listed, or was until now."""
        self._note(entry.service, entry.build, now)

    def _note(self, service: str, build: str, now: float) -> None:
        builds = self.services.setdefault(service, _ServiceBuilds())
        builds.listed_at[build] = now

    def _forget_expired(self, now: float) -> None:
        while self.records:
            first = next(iter(self.records))
            if self.records[first].expires_at > now:
                break
            del self.records[first]

    def builds(self, service: str, now: float) -> set[str]:
        """Return the builds that may have begun a stream that is still taken up."""
        found = self.services.get(service)
        if found is None:
            return set()
        return {
            build
            for build, at in found.listed_at.items()
            if now - at <= self._longest_return() + NOTE_INTERVAL_SECONDS
        }

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether targets of several builds serve, or did until recently."""
        return len(self.builds(service, now)) > 1

    def sole_build(self, service: str, now: float) -> str | None:
        """Return the build of all targets that may have begun a stream.

        It is ``None`` if there were several, or if this VM may have missed some.
        """
        if now - self.observed_since < self._longest_return():
            return None
        builds = self.builds(service, now)
        return next(iter(builds)) if len(builds) == 1 else None

    def observed(
        self, entries: Iterable[TargetEntry], now: float
    ) -> ObservedBuilds | None:
        """Return the builds that may have begun a stream which is still taken up.

        It is ``None`` if this VM may have missed some.

        Parameters
        ----------
        entries
            All targets that are listed now.
        """
        seconds = self.return_seconds
        if seconds is None or now - self.observed_since < seconds:
            return None
        found = {(entry.service, entry.build) for entry in entries}
        for service in self.services:
            found.update((service, build) for build in self.builds(service, now))
        return ObservedBuilds(services=tuple(sorted(found)), seconds=seconds)

    def inherit(self, builds: ObservedBuilds, now: float) -> None:
        """Count the time that other VMs observed until now as observed by this one."""
        for service, build in builds.services:
            self._note(service, build, now)
        self.noted_at = now
        self.are_listed = True
        self.observed_since = min(self.observed_since, now - builds.seconds)

    def build_of(self, entry: TargetEntry, now: float) -> str:
        """Return the build of a target.

        A target whose entry names none, beside others that do, may have any: then it
        counts as a build of its own.
        """
        if entry.build or not self.is_mixed(entry.service, now):
            return entry.build
        return f"{entry.name}/{entry.life}"

    def record(self, begin: StreamBegin, now: float, *, is_own: bool) -> None:
        """Record the build that began a stream; the first one that is named counts."""
        if begin.stream in self.records:
            return
        self._note(begin.service, begin.build, now)
        self.records[begin.stream] = _Record(
            begin=begin, is_own=is_own, expires_at=now + self._longest_return()
        )
        if len(self.records) > MAX_STREAMS:
            self.records.popitem(last=False)

    def find(self, stream: str, now: float) -> str | None:
        """Return the build that began a stream; ``None`` if it is not known."""
        record = self.records.get(stream)
        if record is None or record.expires_at <= now:
            return None
        return record.begin.build

    def own_begins(self, service: str, now: float) -> list[StreamBegin]:
        """Return the streams of a service that this VM began and may be taken up."""
        return [
            record.begin
            for record in self.records.values()
            if record.is_own
            and record.begin.service == service
            and record.expires_at > now
        ]


def longest_stream(document: RoutingDocument) -> float:
    """Return the longest time, in seconds, after which a stream is taken up."""
    return max(
        (
            route.timeout or DEFAULT_TIMEOUT_SECONDS
            for route in document.routes
            if route.is_resumable
        ),
        default=0.0,
    )
