"""Runs one seed: starts all processes, injects faults and checks the answers."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
import random
import signal
import socket
from time import monotonic
from typing import Any

from soak.addresses import async_reuse_addresses
from soak.callers import (
    CallResult,
    KeptCaller,
    call,
    check_result,
    pick_kind,
    unasked_finding,
)
from soak.cold_targets import LIMITS, async_make_cold, cold_findings, is_judged
from soak.const import (
    API_KEY,
    CALLS_PER_SECOND,
    FINAL_CALLS,
    MAX_CUT_SECONDS,
    MAX_DISTURBANCE_SECONDS,
    MAX_HOLD_SECONDS,
    MAX_READY_POLLS,
    RESTORE_SHARE,
    REVOKED_API_KEY,
    SETTLE_SECONDS,
    STREAM_CALLERS,
    ZONES,
)
from soak.documents import routing_document
from soak.evacuations import (
    EVACUATION_SECONDS,
    Evacuation,
    async_evacuate_zones,
    async_write_again,
    evacuation_findings,
)
from soak.faults import FAULTS, NOTICES, async_let_targets_pause, cut_links, terminate
from soak.isolation import (
    IsolationChange,
    async_call_as_others,
    async_change_isolation,
    customer_entries,
    isolated_names,
    isolation_findings,
)
from soak.lateness import Lateness
from soak.links import RANDOM_CUTS, Link, StoreView
from soak.orders import cut_at_order, is_excused, order_findings
from soak.proxy import Impairment, Proxy
from soak.streams import (
    FIRST_BUILD,
    TakenStream,
    async_release_engines,
    async_take_up_streams,
)
from soak.vms import ROOT, Vm
from stand_ins.v1_cold import MAX_LISTING_SECONDS
from stand_ins.v1_context_store import V1ContextStore
from stand_ins.v1_object_store import StoreCopy, V1ObjectStore
from stand_ins.v1_platform import (
    Execution,
    ExecutionLog,
    RequestContent,
    Target,
)


@dataclass(slots=True)
class Report:
    """Result of a seed.

    Attributes
    ----------
    orders
        Orders that have reached engines.
    holders
        Fencing numbers in these orders.
    cold_requests
        Requests to engines that were cold and known to be so.
    cold_crashes
        Crashes of cold engines by too many requests.
    evacuations
        Evacuations of zones.
    shared_parts
        Uses of cached parts that another customer's request has made.
    findings
        Violated guarantees.
    logs
        Paths of the VMs' log files.
    histories
        The starts of each VM and the signals to it, with their times.
    """

    seed: int
    calls: int = 0
    served: int = 0
    orders: int = 0
    holders: int = 0
    cold_requests: int = 0
    cold_crashes: int = 0
    evacuations: int = 0
    shared_parts: int = 0
    faults: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    logs: list[str] = field(default_factory=list)
    histories: list[str] = field(default_factory=list)


class Soak:
    """Run of one seed.

    Attributes
    ----------
    uses_kept_connections
        Whether one caller for each VM uses its connection until the VM closes it.
    uses_own_links
        Whether each VM has a link of its own to each target.
    takes_up_streams
        Whether some callers take up streams, while engines change their build.
    holds_orders
        Whether VMs are cut as they send orders, which arrive after the cut unless they
        were taken back; needs links of their own.
    has_random_faults
        Whether there are faults beside the cuts as VMs send orders.
    has_cold_engines
        Whether engines are cold after a start, and become cold at random times.
    has_evacuations
        Whether zones are evacuated at random times.
    changes_isolation
        Whether there are more customers, and documents isolate some of them.
    other_customers
        Entries of these customers in the document.
    isolation_changes
        Customers that each document isolates, by its time.
    is_under_load
        Whether the VMs run; an engine that starts later is cold.
    evacuations
        Evacuations so far.
    store_faults
        Begin and end of each fault of the object store.
    restores
        Begin and end of each time in which a restored store lacked entries.
    heals
        Time and name of each VM or target whose links are cut no more.
    streams
        Streams of these callers.
    links
        Links of each VM to the targets, by their names.
    context_store
        Store of kept context, which changes during the run.
    sent_kinds
        Kind of each call that was sent, by its request id.
    unasked
        Target and content of executions that no caller asked for.
    earlier_build
        Checkout of the build that runs first, and which the present one replaces VM by
        VM; ``None`` to run the present one only.
    ended_names
        Targets that ended for good, which no restored store may list.
    """

    uses_kept_connections = True
    uses_own_links = False
    takes_up_streams = False
    holds_orders = False
    has_random_faults = True
    has_cold_engines = False
    has_evacuations = False
    changes_isolation = False
    earlier_build: Path | None = None

    def __init__(self, seed: int, vms: int, seconds: float) -> None:
        # Generators of their own keep the other faults of a seed as they were.
        self.restore_random = random.Random(f"restore {seed}")
        self.notice_random = random.Random(f"notices {seed}")
        self.pause_random = random.Random(f"pauses {seed}")
        self.link_random = random.Random(f"links {seed}")
        self.address_random = random.Random(f"addresses {seed}")
        self.order_random = random.Random(f"orders {seed}")
        self.entry_random = random.Random(f"entries {seed}")
        self.isolation_random = random.Random(f"isolation {seed}")
        self.random = random.Random(seed)
        self.seconds = seconds
        self.report = Report(seed)
        self.execution_log = ExecutionLog()
        self.store = V1ObjectStore()
        self.targets = [
            *(
                Target(f"p{n}", self.store, self.execution_log, "plain")
                for n in range(3)
            ),
            *(Target(f"e{n}", self.store, self.execution_log, "llm") for n in range(4)),
        ]
        self.context_store = V1ContextStore("kept")
        self.context_stores: dict[str, V1ContextStore] = {}
        self.last_name = 100
        self.ended_names: list[str] = []
        self.unasked: set[tuple[str, RequestContent]] = set()
        port = find_base_port()
        self.vms = [
            Vm(f"v{number}", f"127.0.0.{10 + number}", f"z{number % 2}", port)
            for number in range(vms)
        ]
        self.proxies: dict[str, Proxy] = {}
        self.links: dict[str, dict[str, Link]] = {}
        self.views: dict[str, StoreView] = {}
        self.document_version = 1
        self.document_keys: list[str] = []
        self.other_customers: list[object] = []
        self.isolation_changes: list[IsolationChange] = []
        self.weight_version = 1
        self.call_number = seed * 1_000_000
        self.results: list[CallResult] = []
        self.streams: list[TakenStream] = []
        self.vm_by_request_id: dict[str, str] = {}
        self.sent_kinds: dict[str, str] = {}
        self.started_at = monotonic()
        # Times of faults on the network of a VM or target.
        self.network_faults: list[tuple[float, str]] = []
        self.heals: list[tuple[float, str]] = []
        self.lateness = Lateness()
        self.zones = ZONES
        self.is_under_load = False
        self.evacuations: list[Evacuation] = []
        self.store_faults: list[tuple[float, float]] = []
        self.restores: list[tuple[float, float]] = []
        self.calls: set[asyncio.Task[None]] = set()

    async def async_run(self) -> Report:
        """Run the seed with faults, then check that all calls are served again."""
        self.execution_log.on_start = self._check_start
        try:
            await self._start()
            tasks = [asyncio.create_task(part) for part in self._background()]
            await self._send_load(self.seconds)
            await asyncio.gather(*tasks)
            await self._end_faults()
            await self._check_service()
        finally:
            await self._stop()
        return self._complete_report()

    def _background(self) -> list[Coroutine[Any, Any, None]]:
        """Return what happens beside the load."""
        parts = [
            self._cut_at_orders(),
            self._upgrade_vms(),
            async_make_cold(self),
            async_evacuate_zones(self),
            async_change_isolation(self),
            async_call_as_others(self),
            self.lateness.async_watch(self.seconds),
        ]
        if self.has_random_faults:
            parts += [
                self._inject_faults(),
                self._restore_store(),
                self._let_targets_say(),
                async_let_targets_pause(self),
                self._cut_vms(),
                async_reuse_addresses(self),
                async_release_engines(self),
            ]
        if self.takes_up_streams:
            parts += [
                async_take_up_streams(self, number) for number in range(STREAM_CALLERS)
            ]
        return parts

    async def async_run_without_faults(self) -> Report:
        """Run the calls of the seed without faults."""
        self.execution_log.on_start = self._check_start
        try:
            await self._start()
            await self._send_load(self.seconds)
        finally:
            await self._stop()
        return self._complete_report()

    def _complete_report(self) -> Report:
        self.report.calls = len(self.results)
        self.report.served = sum(result.status == 200 for result in self.results)
        for result in self.results:
            self.report.findings += check_result(result, self.execution_log)
        for stream in self.streams:
            self.report.findings += stream.findings()
        orders = self.execution_log.orders
        self.report.orders = len(orders)
        self.report.holders = len({order.fence for order in orders})
        self.report.findings += [
            f"{finding} (start at {self.started_at:.2f} s)"
            for finding in order_findings(orders, partial(is_excused, self))
        ]
        self._report_engines()
        sent_at = {result.request_id: result.began_at for result in self.results}
        uses = self.execution_log.part_uses
        self.report.shared_parts = sum(use.customer != use.maker for use in uses)
        self.report.findings += isolation_findings(
            uses, self.isolation_changes, sent_at
        )
        self.report.logs = [str(vm.log) for vm in self.vms]
        self.report.histories = [self._history(vm) for vm in self.vms]
        return self.report

    def _report_engines(self) -> None:
        """Report what engines got while they were cold or their zone was evacuated."""
        requests = self.execution_log.requests
        steps = [step for vm in self.vms for step in vm.history]
        starts = [at for at, step in steps if step.startswith("start")]
        entry_faults = [*self.store_faults, *self.restores]
        self.report.cold_requests = sum(
            is_judged(found, entry_faults) for found in requests
        )
        self.report.cold_crashes = len(self.execution_log.cold_crashes)
        self.report.evacuations = len(self.evacuations)
        self.report.findings += [
            *cold_findings(requests, entry_faults, self.lateness, self.started_at),
            *evacuation_findings(
                requests, self.evacuations, self.store_faults, starts, self.lateness
            ),
        ]

    def _history(self, vm: Vm) -> str:
        steps = [f"{at - self.started_at:.2f} {step}" for at, step in vm.history]
        return f"{vm.name}: {', '.join(steps)}"

    async def _start(self) -> None:
        store_port = await self.store.server.async_start("127.0.0.1")
        await self.async_start_context_store()
        for target in list(self.targets):
            if self.takes_up_streams and target.is_engine:
                target.build = FIRST_BUILD
            self.targets.remove(target)
            await self.async_add_target(target)
        if self.changes_isolation:
            self.other_customers = customer_entries(frozenset(), self.isolation_random)
        await self.async_put_document([API_KEY, REVOKED_API_KEY])
        await self.store.put("versions", "m0", {"model": "m0", "version": 1})
        seeds = [vm.host for vm in self.vms[:3]]
        for vm in self.vms:
            vm.root = self.earlier_build or vm.root
            if self.uses_own_links:
                store_port = await self._start_links(vm)
            proxy = Proxy("127.0.0.1", store_port)
            self.proxies[vm.name] = proxy
            port = await proxy.async_start("127.0.0.1")
            if self.has_cold_engines:
                vm.bounds |= {"cold_over": LIMITS.over, "cold_slack": LIMITS.slack}
            if self.has_evacuations:
                vm.bounds["evac_ms"] = EVACUATION_SECONDS * 1000
                vm.regions = {zone: f"region-{zone}" for zone in ZONES}
            vm.write_settings(f"127.0.0.1:{port}", seeds)
            await vm.async_start()
        await asyncio.gather(*(self._wait_until_ready(vm) for vm in self.vms))
        self.is_under_load = True

    async def _start_links(self, vm: Vm) -> int:
        """Give a VM links of its own; return the port of its view of the store."""
        self.links[vm.name] = {}
        view = self.views[vm.name] = StoreView(self.store, {})
        for target in self.targets:
            await self._link(vm.name, target)
        return await view.server.async_start("127.0.0.1")

    async def _link(self, vm: str, target: Target) -> None:
        # The fault of the target's own proxy concerns all VMs.
        host, _, port = target.registered_address.rpartition(":")
        link = self.links[vm][target.name] = Link(host, int(port))
        sender = next(item for item in self.vms if item.name == vm)
        link.proxy.was_stopped_since = sender.was_stopped_since
        await link.async_start(host)
        self.views[vm].addresses[target.registered_address] = link.address

    async def async_add_target(self, target: Target) -> None:
        """Start a target with a proxy, and list it."""
        await target.async_start("127.0.0.1")
        if self.has_cold_engines or self.has_evacuations:
            target.zone = self._next_zone(target)
        if self.has_cold_engines and target.is_engine:
            # All VMs learn a new engine from its entry, which says that it is cold.
            target.use_cold_times(LIMITS, is_cold=self.is_under_load)
        target.context_stores = self.context_stores
        proxy = self.proxies[target.name] = Proxy("127.0.0.1", target.port)
        proxy_port = await proxy.async_start("127.0.0.1")
        target.registered_address = f"127.0.0.1:{proxy_port}"
        for vm in self.links:
            await self._link(vm, target)
        self.targets.append(target)
        await target.register(target.registered_address)

    def _next_zone(self, target: Target) -> str:
        """Return the zone of a new target; later engines go where the fewest are."""
        if not self.is_under_load:
            return ZONES[int(target.name[1:]) % len(ZONES)]
        zones = [found.zone for found in self.targets if found.is_engine]
        return min(ZONES, key=zones.count)

    async def async_start_context_store(self) -> None:
        """Start a context store, which the next document names."""
        self.context_store = V1ContextStore("kept")
        await self.context_store.async_start("127.0.0.1")
        self.context_stores[self.context_store.address] = self.context_store

    async def async_put_next_document(self) -> None:
        """Write a new version of the routing document with the same keys."""
        self.document_version += 1
        await self.async_put_document(self.document_keys)

    def new_name(self, prefix: str) -> str:
        """Return a name that no target has had."""
        self.last_name += 1
        return f"{prefix}{self.last_name}"

    async def async_put_document(self, keys: list[str]) -> None:
        """Write the routing document with the customer's keys."""
        self.document_keys = keys
        await self.store.put(
            "config",
            "main",
            routing_document(
                self.document_version,
                keys,
                self.context_store.address,
                LIMITS if self.has_cold_engines else None,
                self.other_customers,
            ),
        )
        isolated = isolated_names(self.other_customers)
        self.isolation_changes.append(IsolationChange(monotonic(), isolated))

    async def _wait_until_ready(self, vm: Vm) -> None:
        async with asyncio.timeout(20):
            for _ in range(MAX_READY_POLLS):
                if await self._is_ready(vm):
                    return
                await asyncio.sleep(0.1)

    @staticmethod
    async def _is_ready(vm: Vm) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    vm.host, vm.front_port + 1
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def _send_load(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        kept = [
            asyncio.create_task(self._call_on_kept_connection(vm, end))
            for vm in self.vms
            if self.uses_kept_connections
        ]
        try:
            while loop.time() < end:
                self._start_call(API_KEY)
                await asyncio.sleep(self.random.expovariate(CALLS_PER_SECOND))
            await asyncio.gather(*kept, *self.calls)
        finally:
            # A load that is cancelled must not go on while the VMs are stopped.
            for task in kept:
                task.cancel()

    async def _call_on_kept_connection(self, vm: Vm, until: float) -> None:
        """Send calls on one connection to a VM, and on the next once it is closed."""
        caller = KeptCaller(vm.host, vm.front_port)
        rng = random.Random(f"{vm.name} {self.report.seed}")
        while asyncio.get_running_loop().time() < until:
            number = self.next_number(vm)
            kind = self.record_kind(number, pick_kind(rng))
            result = await caller.async_call(kind, number, API_KEY)
            self.results.append(result)
            await asyncio.sleep(0.2 if result.status == 0 else 0.02)
        caller.close()

    def next_number(self, vm: Vm) -> int:
        """Return the number of the next call, which is sent to a VM."""
        self.call_number += 1
        self.vm_by_request_id[f"{self.call_number:016x}"] = vm.name
        return self.call_number

    def record_kind(self, number: int, kind: str) -> str:
        """Record and return the kind of a call."""
        self.sent_kinds[f"{number:016x}"] = kind
        return kind

    def _check_start(self, request_id: str, execution: Execution) -> None:
        """Check at the start of an execution that a caller asked for it.

        Of the same content at the same target, only the first one is a finding.
        """
        finding = unasked_finding(
            self.sent_kinds.get(request_id), request_id, execution
        )
        key = (execution.target, execution.content)
        if finding and key not in self.unasked:
            self.unasked.add(key)
            seconds = monotonic() - self.started_at
            self.record_finding(f"{finding} ({seconds:.2f} s)")

    def _start_call(self, key: str) -> None:
        vm = self.random.choice(self.vms)
        number = self.next_number(vm)
        task = asyncio.create_task(self._send_call(vm, number, key))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _send_call(self, vm: Vm, number: int, key: str) -> None:
        kind = self.record_kind(number, pick_kind(self.random))
        self.results.append(await call(vm.host, vm.front_port, kind, number, key))

    async def _inject_faults(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds - 1.0
        running: set[asyncio.Task[None]] = set()
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
            fault = self.random.choice(FAULTS)
            self.report.faults.append(fault.__name__.removeprefix("_"))
            running.add(asyncio.create_task(fault(self)))
        await asyncio.gather(*running)

    async def _let_targets_say(self) -> None:
        """Let targets name limits, leave and ask for pauses, at random times."""
        rng = self.notice_random
        end = asyncio.get_running_loop().time() + self.seconds - 1.0
        running: set[asyncio.Task[None]] = set()
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            notice = rng.choice(NOTICES)
            self.report.faults.append(notice.__name__.removeprefix("_"))
            running.add(asyncio.create_task(notice(self)))
        await asyncio.gather(*running)

    async def _cut_vms(self) -> None:
        """Cut some, most or all VMs from all targets, at random times."""
        if not self.uses_own_links:
            return
        rng = self.link_random
        end = asyncio.get_running_loop().time() + self.seconds - MAX_CUT_SECONDS
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            vms = rng.sample(self.vms, rng.randint(1, len(self.vms)))
            how = rng.choice(RANDOM_CUTS)
            self.report.faults.append(f"cut {len(vms)} VMs, {how}")
            await cut_links(self, vms, how, rng.uniform(0.3, MAX_CUT_SECONDS))

    async def _cut_at_orders(self) -> None:
        """Cut VMs as they send orders, at random times."""
        if not self.holds_orders:
            return
        rng = self.order_random
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds - MAX_HOLD_SECONDS
        while loop.time() < end:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            await cut_at_order(self)

    async def _upgrade_vms(self) -> None:
        """Replace the earlier build by the present one, VM by VM in random order."""
        if self.earlier_build is None:
            return
        rng = random.Random(f"upgrade {self.report.seed}")
        pause = self.seconds / (len(self.vms) + 1)
        for vm in rng.sample(self.vms, len(self.vms)):
            await asyncio.sleep(pause)
            vm.root = ROOT
            await terminate(self, vm)

    async def _restore_store(self) -> None:
        """Restore the store from an older copy in half of the seeds."""
        copied_after = self.restore_random.uniform(0.2, 0.5) * self.seconds
        is_restored = self.restore_random.random() < RESTORE_SHARE
        age = self.restore_random.uniform(0.5, 2.5)
        if not is_restored or copied_after + age > self.seconds:
            return
        await asyncio.sleep(copied_after)
        copy = self.store.copy()
        await asyncio.sleep(age)
        self.report.faults.append("restore")
        await self.restore_store(copy)

    async def restore_store(self, copy: StoreCopy) -> None:
        """Restore the store; the operator and the targets then write again."""
        restored_at = monotonic()
        await self.store.restore(copy)
        await asyncio.sleep(self.restore_random.uniform(0.1, 1.0))
        await self.async_put_document(self.document_keys)
        await self.store.put(
            "versions", "m0", {"model": "m0", "version": self.weight_version}
        )
        await async_write_again(self, restored_at)
        for name in self.ended_names:
            await self.store.delete("servers", name)
        for target in self.targets:
            await target.register(target.registered_address)
        self.restores.append((restored_at, monotonic() + MAX_LISTING_SECONDS))

    async def _end_faults(self) -> None:
        """End all faults, restart ended processes and wait until the VMs recover."""
        self.store.fault = ""
        for proxy in self.proxies.values():
            proxy.impairment = Impairment.NONE
        for target in self.targets:
            target.fault = ""
            target.limit = ""
            target.server.stop_resetting()
            await target.register(target.registered_address)
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
            if vm.process is None or vm.process.returncode is not None:
                await vm.async_start()
        await asyncio.gather(*(self._wait_until_ready(vm) for vm in self.vms))
        await asyncio.sleep(SETTLE_SECONDS + 4.0)

    async def _check_service(self) -> None:
        """Check that all calls are served again, with the newest document."""
        before = len(self.results)
        for _ in range(FINAL_CALLS):
            self._start_call(API_KEY)
            await asyncio.sleep(0.03)
        await asyncio.gather(*self.calls)
        served = sum(result.status == 200 for result in self.results[before:])
        if served < FINAL_CALLS:
            self.report.findings.append(
                f"after the faults {served} of {FINAL_CALLS} calls were served"
            )
        if REVOKED_API_KEY not in self.document_keys:
            await self._check_revoked_key()

    async def _check_revoked_key(self) -> None:
        for vm in self.vms:
            self.call_number += 1
            kind = self.record_kind(self.call_number, "safe")
            result = await call(
                vm.host, vm.front_port, kind, self.call_number, REVOKED_API_KEY
            )
            if result.status != 401:
                self.report.findings.append(
                    f"{vm.name} answers {result.status} to a revoked key"
                )

    async def _stop(self) -> None:
        for vm in self.vms:
            await vm.async_kill()
        for proxy in self.proxies.values():
            proxy.stop()
        for links in self.links.values():
            for link in links.values():
                link.stop()
        for view in self.views.values():
            await view.server.async_stop()
        for target in self.targets:
            await target.async_stop()
        await self.context_store.server.async_stop()
        await self.store.server.async_stop()

    def record_finding(self, finding: str) -> None:
        """Record a violated guarantee; an empty text is none."""
        if finding:
            self.report.findings.append(finding)

    def record_network_fault(self, name: str) -> None:
        """Record a fault on the network of a VM or target, or on a VM's links."""
        self.network_faults.append((monotonic(), name))

    def record_heal(self, name: str) -> None:
        """Record the end of a cut of a VM or target."""
        self.heals.append((monotonic(), name))

    def is_disturbed(self, vm: str, target: str, start: float, end: float) -> bool:
        """Return whether a restart, freeze or cut excuses a VM in a time."""
        steps = [step for item in self.vms if item.name == vm for step in item.history]
        names = (target, f"links of {vm}")
        faults = [step for step in self.network_faults if step[1] in names]
        since = start - MAX_DISTURBANCE_SECONDS
        return any(since <= at <= end for at, _ in (*steps, *faults))

    def pick_running_vm(self, rng: random.Random) -> Vm:
        """Return a random VM that was not killed last, if there is one."""
        running = [vm for vm in self.vms if vm.last_signal is not signal.SIGKILL]
        return rng.choice(running or self.vms)

    def pick_vm(self) -> Vm:
        """Return a random VM."""
        return self.random.choice(self.vms)

    def pick_target(self) -> Target:
        """Return a random target."""
        return self.random.choice(self.targets)


def find_base_port() -> int:
    """Return the first of four free ports, outside the usual ephemeral range."""
    while True:
        base = random.randrange(20_000, 30_000, 4)
        try:
            for offset in range(4):
                with socket.socket() as found:
                    found.bind(("127.0.0.10", base + offset))
        except OSError:
            continue
        return base
