"""Recorded events and the pages in which they are handed out."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.timeline.hlc import Timestamp
from gypsumsail.timeline.models import Event


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class ProcessId:
    """One life of a process."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedEvent:
    """An event with its place in its process and in the order of all events.

    Attributes
    ----------
    sequence
        Counts the events of one life of a process from 1, without gaps.
    wall_ms
        The process's own clock; far from ``stamp`` when that clock jumped.
    """

    sequence: int
    stamp: Timestamp
    wall_ms: int
    event: Event


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Events of one life of a process over a range of sequence numbers.

    Attributes
    ----------
    first, last
        The range that the page speaks for; nothing when ``last < first``.
    whole
        Whether the page has all events of its range. Otherwise it has those
        that prove a promise, and the rest was not kept.
    latest
        Number of the process's newest event when the page was made.
    """

    process: ProcessId
    first: int
    last: int
    latest: int
    whole: bool
    events: tuple[RecordedEvent, ...]
