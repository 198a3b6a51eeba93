"""Reports on engines that entries pass to each other."""

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
    """What one entry read of one engine.

    Attributes
    ----------
    age
        Seconds since the load was true, when the message was sent.
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
    """Sightings of the engines that the sender watches for others."""

    reports: tuple[EngineReport, ...]


def make_report(
    target: str, load: LoadReport, state: EngineState, since: float
) -> EngineReport:
    """Return the sighting of an engine, ``since`` seconds after its report came."""
    return EngineReport(
        target=target,
        incarnation=load.incarnation,
        running=load.running,
        waiting=load.waiting,
        queued_prompt_tokens=load.queued_prompt_tokens,
        age=load.age + since,
        serving=state.role is EngineRole.SERVE,
        models=tuple(_served(loaded) for loaded in state.models),
    )


def load_report_of(report: EngineReport) -> LoadReport:
    """Return the load report in a sighting."""
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
