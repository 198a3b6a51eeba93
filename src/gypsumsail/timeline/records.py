"""Recorded events and the pages that contain them."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.timeline.hlc import Timestamp
from gypsumsail.timeline.models import Event


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class ProcessId:
    """Identifies one run of a process, from its start to its exit.

    Attributes
    ----------
    incarnation
        Random identifier of the run.
    """

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedEvent:
    """An event with its position in its process and in the total order of events.

    Attributes
    ----------
    sequence
        Sequence number within one incarnation of a process, from 1, without gaps.
    stamp
        Hybrid logical timestamp, which orders the event among those of all processes.
    wall_ms
        Wall clock of the process in milliseconds since the Unix epoch; may be far
        from ``stamp`` after that clock was set back.
    """

    sequence: int
    stamp: Timestamp
    wall_ms: int
    event: Event


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Events of one incarnation of a process in a range of sequence numbers.

    Attributes
    ----------
    first, last
        Range of sequence numbers that the page covers; empty if ``last < first``.
    whole
        Whether the page contains all events of its range. Otherwise it contains
        only the kinds of events that are archived.
    latest
        Sequence number of the newest event of the process when the page was created.
    """

    process: ProcessId
    first: int
    last: int
    latest: int
    whole: bool
    events: tuple[RecordedEvent, ...]
