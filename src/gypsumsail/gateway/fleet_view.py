"""State of the fleet that the queues of a VM share."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from math import inf

from gypsumsail.cold_targets.senders import ColdSharing
from gypsumsail.evacuations.homes import Homes, Regions
from gypsumsail.gateway.arrivals import PeerServiceLoad
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.limit_slots import LimitSharing
from gypsumsail.gateway.models import PromptPart, TargetEntry
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import TargetState
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.placing.pools import EnginePools
from gypsumsail.sharing.isolation import Isolation

CountFetchableParts = Callable[[str, str, Sequence[PromptPart], Homes, float], int]
"""Function of service, cache scope, prompt parts, homes of the call and time.

It returns how many leading parts an engine has cached or can fetch.
"""


@dataclass(slots=True, kw_only=True)
class FleetView:
    """State of the fleet that all queues of this VM share.

    Attributes
    ----------
    zone
        Availability zone of this VM.
    regions
        Regions of the zones, to which calls may be confined.
    fetchable_parts
        Returns how many leading parts of a prompt an engine of a service has cached
        or can fetch under a cache scope.
    wanted_weights
        Weight versions that the operator wants, by model.
    rollout_seconds
        Seconds from this VM's first sight of a new version after which no call may
        start on older weights.
    vms
        Returns the number of VMs that place calls on the same targets.
    limit_sharing
        Division of the targets' limits among these VMs.
    cold_sharing
        Division of the rate of cold targets among the VMs of this zone.
    on_cold_held
        Called with the service of a call when it first waits for a cold target.
    peer_service_load
        Returns the load that the other VMs put on the targets of a service.
    knows_notices
        Returns whether this VM has heard, since its start, what targets said of
        themselves before it.
    evacuated_zones
        Zones whose targets get no calls.
    allows_calls
        Returns whether this VM knows the evacuated zones well enough to place calls.
    load_report_interval
        Returns the seconds between the load reports of another VM.
    build_of
        Returns the build of a target at a time, with which those of streams compare.
    divides_engines
        Whether engines may be divided between long and short prompts.
    on_division
        Called with a service, its pools and the time when a division of its engines
        between long and short prompts begins or ends.
    exits_at
        Time at which this VM exits; infinite until it is told to stop.
    isolation
        Customers whose cached context is not shared.
    is_isolation_known
        Returns whether this VM knows at a time which customers are isolated. While it
        does not, no customer shares cached context with another.
    choose_helper
        Returns the host of another VM that may serve a call of a service; ``None`` if
        there is none. Its arguments are the service, the hosts that were tried, the
        homes of the call and the time.
    """

    zone: str
    fetchable_parts: CountFetchableParts
    targets: TargetTable
    wanted_weights: dict[str, WantedWeights]
    rollout_seconds: float
    vms: Callable[[], int]
    limit_sharing: LimitSharing
    cold_sharing: ColdSharing = field(default_factory=ColdSharing)
    on_cold_held: Callable[[str], None] = lambda service: None
    peer_service_load: Callable[[str, float], PeerServiceLoad] = lambda service, now: (
        PeerServiceLoad()
    )
    load_report_interval: Callable[[float], float] = lambda now: 0.0
    knows_notices: Callable[[float], bool] = lambda now: True
    evacuated_zones: Collection[str] = ()
    allows_calls: Callable[[float], bool] = lambda now: True
    build_of: Callable[[TargetEntry, float], str] = lambda entry, now: entry.build
    choose_helper: Callable[[str, set[str], Homes, float], str | None] = (
        lambda service, tried, homes, now: None
    )
    divides_engines: bool = False
    on_division: Callable[[str, EnginePools, float], None] = (
        lambda service, pools, now: None
    )
    regions: Regions = field(default_factory=lambda: Regions(own_zone=""))
    exits_at: float = inf
    isolation: Isolation = field(default_factory=Isolation)
    is_isolation_known: Callable[[float], bool] = lambda now: True

    def may_place(self, now: float) -> bool:
        """Return whether this VM knows enough of the fleet to place calls."""
        return self.knows_notices(now) and self.allows_calls(now)

    def is_evacuated(self, entry: TargetEntry) -> bool:
        """Return whether a target gets no calls because its zone is evacuated."""
        return entry.zone in self.evacuated_zones

    def open_targets(self, service: str, homes: Homes = None) -> list[TargetState]:
        """Return the targets of a service in the homes, outside evacuated zones."""
        states = self.targets.of_service(service)
        if self.evacuated_zones:
            states = [state for state in states if not self.is_evacuated(state.entry)]
        if homes is None:
            return states
        return [
            state for state in states if self.regions.is_home(state.entry.zone, homes)
        ]

    def is_cut_off(self, service: str, now: float, homes: Homes = None) -> bool:
        """Return whether this VM reaches none of the open targets of a service."""
        states = self.open_targets(service, homes)
        listed = [state for state in states if not state.is_leaving]
        return bool(listed) and all(state.is_unreachable(now) for state in listed)

    def helper_for(self, job: Job, now: float) -> str | None:
        """Return the host of another VM that may serve a job."""
        return self.choose_helper(job.service, job.helpers_tried, job.homes, now)

    def fetchable_parts_of(self, job: Job, scope: str, now: float) -> int:
        """Return how many leading parts of a job's prompt can be fetched."""
        prompt = job.call.prompt
        parts = prompt.parts if prompt is not None else ()
        return self.fetchable_parts(job.service, scope, parts, job.homes, now)
