"""Exports that wait for the link, the most valuable first."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.context.models import StoredRun
from gypsumsail.tiers.const import EXPORT_LIFETIME_SECONDS, MAX_QUEUED_EXPORTS
from gypsumsail.tiers.export import ExportPlan


@dataclass(frozen=True, slots=True, kw_only=True)
class ExportJob:
    """A planned export.

    Attributes
    ----------
    key
        Directory key of the prompt.
    hashes
        All full blocks of the prompt; the plan says which of them are exported.
    base
        Runs that the store has already, up to where the plan starts.
    queued_at
        Time of the answer; after a while the engine has likely evicted the blocks.
    """

    service: str
    customer: str
    target: str
    store_url: str
    salt: str
    weight_version: str
    key: str
    hashes: tuple[str, ...]
    base: tuple[StoredRun, ...]
    plan: ExportPlan
    queued_at: float


@dataclass(slots=True)
class ExportQueue:
    """Bounded queue; a burst of answers drops what is worth least.

    Attributes
    ----------
    dropped
        Exports that were given up for want of room or time.
    """

    jobs: list[ExportJob] = field(default_factory=list)
    dropped: int = 0

    def add(self, job: ExportJob) -> None:
        """Queue a job; one for the same prompt and store is replaced."""
        self.jobs = [
            known
            for known in self.jobs
            if (known.store_url, known.hashes) != (job.store_url, job.hashes)
        ]
        self.jobs.append(job)
        if len(self.jobs) > MAX_QUEUED_EXPORTS:
            self.jobs.remove(min(self.jobs, key=_value_per_byte))
            self.dropped += 1

    def take(self, *, now: float) -> ExportJob | None:
        """Return the job that is worth most per byte, without the expired."""
        fresh = [
            job for job in self.jobs if now - job.queued_at < EXPORT_LIFETIME_SECONDS
        ]
        self.dropped += len(self.jobs) - len(fresh)
        self.jobs = fresh
        if not fresh:
            return None
        best = max(fresh, key=_value_per_byte)
        fresh.remove(best)
        return best


def _value_per_byte(job: ExportJob) -> float:
    return job.plan.value_per_byte
