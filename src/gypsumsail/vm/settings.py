"""Settings of a VM of the gateway, checked before anything starts."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.gateway.models import Address
from gypsumsail.gateway.retry_budget import RetryLimit


@dataclass(frozen=True, slots=True, kw_only=True)
class VmSettings:
    """What a process learns of its VM and of the deployment's bounds.

    Attributes
    ----------
    callers, readiness, control
        Where callers connect, where the balancer asks, and where peers ask.
    gossip_port
        UDP port of all VMs of the deployment.
    seed_hosts
        Hosts of some VMs; they may be gone.
    grace_seconds
        Time from the first signal to the end of the process.
    lease_seconds
        Least time between the orders of two holders.
    rollout_seconds
        Time after which no call may begin on older weights.
    """

    vm: str
    host: str
    zone: str
    callers: Address
    readiness: Address
    control: Address | None
    gossip_port: int
    seed_hosts: tuple[str, ...]
    object_store: Address
    grace_seconds: float
    repeat_limit: RetryLimit
    lease_seconds: float
    rollout_seconds: float
