"""Metrics of the state of a VM: calls, peers, document, log and process usage."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from gypsumsail.core.callback import callback
from gypsumsail.metrics.families import Family, Gauge
from gypsumsail.metrics.process import read_process_usage
from gypsumsail.metrics.registry import MetricsRegistry

if TYPE_CHECKING:
    from gypsumsail.vm.runtime import VmRuntime


class VmMetrics:
    """Metrics of the state of a VM, updated when they are scraped.

    The counters of refused requests and of answers that were cut off are updated
    immediately instead.
    """

    def __init__(self, registry: MetricsRegistry, *, has_evacuations: bool) -> None:
        self.unreadable = registry.counter(
            "gypsumsail_unread_requests_total",
            "Requests that were refused while they were read, by status.",
            ("status",),
        )
        self.cut_off = registry.counter(
            "gypsumsail_answers_cut_off_total",
            "Answers that were cut off because of their size, by the limit.",
            ("limit",),
        )
        self.waiting = registry.gauge(
            "gypsumsail_waiting_calls", "Calls that wait for a target.", ("service",)
        )
        self.in_flight = registry.gauge(
            "gypsumsail_calls_at_target",
            "Calls of this VM at each target.",
            ("service", "target"),
        )
        self.targets = registry.gauge(
            "gypsumsail_targets",
            "Targets of a service by whether this VM reaches them.",
            ("service", "reached"),
        )
        self.peers = registry.gauge("gypsumsail_vms", "VMs that are believed alive.")
        self.document = registry.gauge(
            "gypsumsail_routing_document", "Version of the routing document in force."
        )
        self.copy_age = registry.gauge(
            "gypsumsail_copy_age_seconds",
            "Seconds since the store is known to have confirmed the copy of a kind.",
            ("kind",),
        )
        self.loop_delay = registry.gauge(
            "gypsumsail_loop_delay_max_seconds",
            "Longest delay of the main loop since the last scrape.",
        )
        self.shown_zones: set[str] = set()
        self.evacuated_zones: Family[Gauge] | None = None
        self.zone_evacuated: Family[Gauge] | None = None
        if has_evacuations:
            self.evacuated_zones = registry.gauge(
                "gypsumsail_evacuated_zones", "Zones whose targets get no calls."
            )
            self.zone_evacuated = registry.gauge(
                "gypsumsail_zone_evacuated",
                "Whether the targets of a zone get no calls: 1 or 0.",
                ("zone",),
            )
        self.left_out = registry.counter(
            "gypsumsail_objects_left_out_total",
            "Objects of the platform that could not be read or are invalid.",
        )
        self.dropped = registry.counter(
            "gypsumsail_log_lines_dropped_total", "Log lines that were dropped."
        )
        self.cpu = registry.counter(
            "process_cpu_seconds_total", "Processor time of this process."
        )
        self.memory = registry.gauge(
            "process_resident_memory_bytes", "Memory of this process."
        )

    @callback
    def refused(self, status: int) -> None:
        """Count a request that was rejected before it was read completely."""
        self.unreadable.labels(str(status)).increment()

    @callback
    def update(self, vm: VmRuntime) -> None:
        """Update the metrics from the state of the VM."""
        now = vm.clock.monotonic()
        for service, queue in vm.gateway.queues.items():
            self.waiting.labels(service).set(len(queue.entries))
            found = vm.targets.reachability(service, now)
            self.targets.labels(service, "yes").set(found.reached)
            self.targets.labels(service, "no").set(found.listed - found.reached)
        for state in vm.targets.states.values():
            labels = (state.entry.service, state.entry.name)
            self.in_flight.labels(*labels).set(len(state.in_flight))
        self.peers.labels().set(vm.peers.count(now))
        if vm.gateway.document is not None:
            self.document.labels().set(vm.gateway.document.version)
        for kind in vm.catalog.kinds.all():
            age = vm.catalog.copy_age(kind, now)
            if isfinite(age):
                self.copy_age.labels(kind).set(age)
        self.loop_delay.labels().set(vm.loop_delay.take_longest())
        self._update_evacuations(vm)
        self.left_out.labels().set_total(
            vm.catalog.objects_left_out + vm.ports.unreadable_entries()
        )
        self.dropped.labels().set_total(vm.writer.dropped + vm.log.total_dropped)
        use = read_process_usage()
        self.cpu.labels().set_total(use.cpu_seconds)
        self.memory.labels().set(use.resident_bytes)

    def _update_evacuations(self, vm: VmRuntime) -> None:
        if self.evacuated_zones is None or self.zone_evacuated is None:
            return
        zones = vm.catalog.evacuations.zones
        self.evacuated_zones.labels().set(len(zones))
        self.shown_zones.update(zones)
        self.shown_zones.update(
            state.entry.zone for state in vm.targets.states.values()
        )
        for zone in self.shown_zones:
            self.zone_evacuated.labels(zone).set(int(zone in zones))
