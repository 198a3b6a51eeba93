"""Engine reports that entries send to each other."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message
from gypsumsail.targets.port import EngineRole, EngineState, LoadedModel, LoadReport


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedModel:
    """A model that an engine serves."""

    model: str
    weight_version: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """Load and state of one engine as one entry read them.

    Attributes
    ----------
    age
        Age of the load in seconds when the engine answered; the time until the report
        is sent is not included.
    """

    target: str
    incarnation: str
    running: int
    waiting: int
    queued_prompt_tokens: int
    age: float
    serving: bool
    models: tuple[ServedModel, ...]


@message("fleet.sightings")
@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReports(Message):
    """Reports on the engines that the sender reads on behalf of others."""

    reports: tuple[EngineReport, ...]


def make_report(
    target: str, load: LoadReport, state: EngineState, seconds_since_answer: float
) -> EngineReport:
    """Return the report on an engine some seconds after it answered."""
    return EngineReport(
        target=target,
        incarnation=load.incarnation,
        running=load.running,
        waiting=load.waiting,
        queued_prompt_tokens=load.queued_prompt_tokens,
        age=load.age + seconds_since_answer,
        serving=state.role is EngineRole.SERVE,
        models=tuple(_served(loaded) for loaded in state.models),
    )


def load_report_of(report: EngineReport) -> LoadReport:
    """Return the load in a report; the cache use is not reported, so it is 0."""
    return LoadReport(
        incarnation=report.incarnation,
        running=report.running,
        waiting=report.waiting,
        queued_prompt_tokens=report.queued_prompt_tokens,
        cache_used=0,
        cache_limit=0,
        age=report.age,
    )


def _served(loaded: LoadedModel) -> ServedModel:
    return ServedModel(
        model=loaded.model,
        weight_version=loaded.weight_version,
        adapters=loaded.adapters,
    )
