"""Finds the build at which a stream goes on, and tells of streams that begin."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import StreamUnknownError
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.models import CallKind, TargetEntry
from gypsumsail.gateway.port import LifeProof
from gypsumsail.gateway.stream_builds import StreamBegin, StreamBuilds
from gypsumsail.gateway.target_lives import life_proof
from gypsumsail.gateway.targets import TargetState
from gypsumsail.gateway.telemetry import GatewayTelemetry


class StreamResumption:
    """Streams that begin at this VM, and those that callers take up here.

    Attributes
    ----------
    on_began
        Called with a stream whose first event has come, before it is forwarded.
    ask_build
        Asks other VMs for the build that began a stream of a service.
    confirm_targets
        Returns whether the list of targets is known to be complete as of now.
    """

    def __init__(
        self, builds: StreamBuilds, clock: Clock, telemetry: GatewayTelemetry
    ) -> None:
        self.builds = builds
        self.clock = clock
        self.telemetry = telemetry
        self.on_began: Callable[[StreamBegin, float], None] = _tell_nobody
        self.ask_build: Callable[[str, str], Awaitable[str | None]] = _async_ask_nobody
        self.confirm_targets: Callable[[], Awaitable[bool]] = async_confirm

    async def async_find_build(self, job: Job) -> str:
        """Return the build that began the stream which a caller takes up.

        Raises
        ------
        StreamUnknownError
            Neither this VM nor the others know it, so that no target may go on.
        """
        now = self.clock.monotonic()
        self._note_deadline(job)
        stream = job.call.resumes
        build = self.builds.find(stream, now)
        source = "this VM"
        if build is None:
            build = await async_sole_build(
                self.builds, job.service, self.clock, self.confirm_targets
            )
            source = "only build"
        if build is None:
            # Also without a name: another VM may have seen that only one build served.
            build = await self.ask_build(stream, job.service)
            source = "another VM"
        self.telemetry.stream_taken_up(job, build, source)
        if build is None:
            raise StreamUnknownError("no VM knows which build began the stream")
        return build

    @callback
    def stream_began(
        self, job: Job, state: TargetState, life: int | None, now: float
    ) -> None:
        """Record which build began a stream, before its first event is forwarded.

        Parameters
        ----------
        life
            Life that the target has stated over the connection of the stream.
        """
        if job.build is not None or job.route.kind is not CallKind.STREAM:
            return
        job.build = self._build(job, state.entry, life, now)
        if not job.route.is_resumable:
            return
        self._note_deadline(job)
        begin = StreamBegin(
            stream=job.call.request_id, service=job.service, build=job.build
        )
        self.builds.record(begin, now, is_own=True)
        self.on_began(begin, now)

    def _build(self, job: Job, entry: TargetEntry, life: int | None, now: float) -> str:
        """Return the build that began a stream.

        That of the entry counts only for the life of the entry. Another life has a
        build of its own, so that no other target goes on with its streams.
        """
        if life_proof(job, entry) is LifeProof.NONE or life == entry.life:
            return self.builds.build_of(entry, now)
        return f"{entry.name}/{life or job.call.request_id}"

    def _note_deadline(self, job: Job) -> None:
        if job.call.deadline is not None:
            self.builds.note_return(job.call.deadline - job.call.received_at)


async def async_sole_build(
    builds: StreamBuilds,
    service: str,
    clock: Clock,
    confirm_targets: Callable[[], Awaitable[bool]],
) -> str | None:
    """Return the build of all targets that may have begun a stream.

    A VM that is cut off, or stood still, may have missed that targets of another build
    joined a moment ago. Its list must therefore be confirmed after the question.
    """
    if builds.sole_build(service, clock.monotonic()) is None:
        return None
    if not await confirm_targets():
        return None
    return builds.sole_build(service, clock.monotonic())


async def async_confirm() -> bool:
    """Stand in where the targets are given."""
    return True


def _tell_nobody(begin: StreamBegin, now: float) -> None:
    """Stand in for the other VMs where there are none."""


async def _async_ask_nobody(stream: str, service: str) -> str | None:
    return None
