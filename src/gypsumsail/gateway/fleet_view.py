"""State of the fleet that the queues of a VM share."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import inf

from gypsumsail.cold_targets.senders import ColdSharing
from gypsumsail.gateway.arrivals import PeerServiceLoad
from gypsumsail.gateway.limit_slots import LimitSharing
from gypsumsail.gateway.models import PromptPart, TargetEntry
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.placing.pools import EnginePools

CountFetchableParts = Callable[[str, str, Sequence[PromptPart], float], int]
"""Function of service, cache scope, prompt parts and time.

It returns how many leading parts an engine has cached or can fetch.
"""


@dataclass(slots=True, kw_only=True)
class FleetView:
    """State of the fleet that all queues of this VM share.

    Attributes
    ----------
    zone
        Availability zone of this VM.
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
    load_report_interval
        Returns the seconds between the load reports of another VM.
    build_of
        Returns the build of a target at a time, with which those of streams compare.
    on_division
        Called with a service, its pools and the time when a division of its engines
        between long and short prompts begins or ends.
    exits_at
        Time at which this VM exits; infinite until it is told to stop.
    sharing_group
        Name of the customers that share prompt parts, see ``RoutingDocument``.
    choose_helper
        Returns the host of another VM that may serve a call of a service; ``None`` if
        there is none. Its arguments are the service, the hosts that were tried and
        the time.
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
    build_of: Callable[[TargetEntry, float], str] = lambda entry, now: entry.build
    choose_helper: Callable[[str, set[str], float], str | None] = (
        lambda service, tried, now: None
    )
    on_division: Callable[[str, EnginePools, float], None] = (
        lambda service, pools, now: None
    )
    exits_at: float = inf
    sharing_group: str = ""
