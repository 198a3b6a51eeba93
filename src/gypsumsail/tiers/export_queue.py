"""Queue of planned exports, ordered by value per byte."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.context.models import StoredRun
from gypsumsail.tiers.const import EXPORT_LIFETIME_SECONDS, MAX_QUEUED_EXPORTS
from gypsumsail.tiers.export_plan import ExportPlan


@dataclass(frozen=True, slots=True, kw_only=True)
class ExportJob:
    """A planned export.

    Attributes
    ----------
    key
        Directory key of the prompt.
    hashes
        Hashes of all full blocks of the prompt; the plan selects those to export.
    base
        Runs before the start of the plan, which the store already has.
    queued_at
        Time of the answer. The export expires after `EXPORT_LIFETIME_SECONDS`,
        because the engine has probably evicted the blocks by then.
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
    """Bounded priority queue that drops the export of least value when full.

    Attributes
    ----------
    dropped
        Number of exports dropped because the queue was full or they expired.
    """

    jobs: list[ExportJob] = field(default_factory=list)
    dropped: int = 0

    def add(self, job: ExportJob) -> None:
        """Queue a job, replacing a job for the same prompt and store."""
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
        """Drop expired jobs; remove and return the job of highest value per byte."""
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
