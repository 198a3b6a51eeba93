"""Settings of a VM of the gateway, validated before the VM starts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gypsumsail.catalog.freshness import ChangeBounds
from gypsumsail.cold_targets.models import ColdBound
from gypsumsail.gateway.models import Address
from gypsumsail.gateway.retry_budget import RetryLimit


@dataclass(frozen=True, slots=True, kw_only=True)
class VmSettings:
    """Settings of one VM and limits of the deployment.

    Attributes
    ----------
    caller_address, readiness_address, control_address
        Addresses for callers, for readiness checks and for requests of peers.
    gossip_port
        UDP port of all VMs of the deployment.
    seed_hosts
        Hosts of some VMs of the deployment, which may no longer exist.
    grace_seconds
        Maximum time from the first signal to the exit of the process, including the
        time in which the balancer may still send requests.
    min_holder_gap_seconds
        Minimum time between orders of two lease holders; the lease itself lasts longer.
    change_bounds
        Times in which changes at the platform's store must be in force.
    rollout_seconds
        Time after a weight version is named from which no call may use an older one.
    cold_bound
        Bound on the requests that a cold target gets.
    memory_bytes
        Memory of the VM; 0 if it is unknown.
    regions
        Region of each zone that has a known one.
    invalid_regions
        Fields of the regions that can't be read.
    """

    vm: str
    host: str
    zone: str
    caller_address: Address
    readiness_address: Address
    control_address: Address | None
    gossip_port: int
    seed_hosts: tuple[str, ...]
    object_store: Address
    grace_seconds: float
    retry_limit: RetryLimit
    min_holder_gap_seconds: float
    change_bounds: ChangeBounds
    rollout_seconds: float
    cold_bound: ColdBound = field(default_factory=ColdBound)
    memory_bytes: int = 0
    regions: Mapping[str, str] = field(default_factory=dict)
    invalid_regions: tuple[str, ...] = ()
