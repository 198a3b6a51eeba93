"""Faults of the soak test; each one ends by itself.

Faults start at random intervals and may overlap.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
import contextlib
import signal
from time import monotonic
from typing import TYPE_CHECKING, Any, Final

from soak.const import (
    API_KEY,
    LIMITS,
    LISTED_SECONDS,
    LONG_PAUSES,
    MAX_PAUSE_SECONDS,
    MAX_START_POLLS,
    PAUSES,
    START_POLL_SECONDS,
)
from soak.links import LinkCut
from soak.pauses import pause_finding, pause_seconds
from soak.proxy import DELAY_SECONDS, RANDOM_IMPAIRMENTS, Impairment

if TYPE_CHECKING:
    from soak.run import Soak
    from soak.vms import Vm


async def _kill(soak: Soak) -> None:
    vm = soak.pick_vm()
    await vm.async_kill()
    await asyncio.sleep(soak.random.uniform(0.1, 1.0))
    if vm.process is None or vm.process.returncode is not None:
        await vm.async_start()


async def _terminate(soak: Soak) -> None:
    await terminate(soak, soak.pick_vm())


async def terminate(soak: Soak, vm: Vm) -> None:
    """Stop a VM in an orderly way and start it again."""
    vm.send_signal(signal.SIGCONT)
    vm.send_signal(signal.SIGTERM)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(6.0):
            code = await vm.async_wait()
            # The fault ``_kill`` may overlap and send SIGKILL.
            #
            # Until it logs its first line, a process has no handler for SIGTERM and
            # accepts no request, so the signal may end it.
            is_before_handler = code == -signal.SIGTERM and not vm.has_logged_start()
            if code not in (0, -signal.SIGKILL) and not is_before_handler:
                soak.report.findings.append(f"{vm.name} ended with exit code {code}")
    if vm.process is None or vm.process.returncode is not None:
        await vm.async_start()
    else:
        soak.report.findings.append(f"{vm.name} still runs after its grace period")


async def _freeze(soak: Soak) -> None:
    vm = soak.pick_vm()
    vm.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    vm.send_signal(signal.SIGCONT)


async def _hang_up(soak: Soak) -> None:
    """Send SIGHUP, on which a VM reloads its settings."""
    vm = soak.pick_vm()
    # Until the interpreter runs the program's first line, the signal ends the process.
    for _ in range(MAX_START_POLLS):
        if vm.is_prepared_for(signal.SIGHUP):
            vm.send_signal(signal.SIGHUP)
            return
        await asyncio.sleep(START_POLL_SECONDS)


async def _cut(soak: Soak) -> None:
    """Impair the connections to a target, or those of a VM to the object store."""
    name = soak.random.choice(sorted(soak.proxies))
    proxy = soak.proxies[name]
    soak.record_network_fault(name)
    impairment = proxy.impairment = soak.random.choice(RANDOM_IMPAIRMENTS)
    began_at = monotonic()
    await asyncio.sleep(soak.random.uniform(0.3, 2.5))
    proxy.impairment = Impairment.NONE
    if impairment is Impairment.DELAY:
        until = monotonic() + DELAY_SECONDS
        soak.lateness.record(began_at, until, DELAY_SECONDS, name)
    soak.record_heal(name)


async def _reset(soak: Soak) -> None:
    """Reset all connections through one proxy."""
    name = soak.random.choice(sorted(soak.proxies))
    soak.record_network_fault(name)
    soak.proxies[name].reset_all()


async def _store(soak: Soak) -> None:
    """Activate a fault of the object store."""
    fault = soak.random.choice(["busy", "reset", "silent", "lost"])
    await impair_store(soak, fault, soak.random.uniform(0.5, 2.5))


async def impair_store(soak: Soak, fault: str, seconds: float) -> None:
    """Activate a fault of the object store for a time."""
    began_at = monotonic()
    soak.store_faults.append((began_at, began_at + seconds))
    soak.store.fault = fault
    await asyncio.sleep(seconds)
    soak.store.fault = ""


async def _forget(soak: Soak) -> None:
    """Discard the object store's history of changes."""
    soak.store.compact()


async def _target(soak: Soak) -> None:
    """Activate a fault of a target."""
    target = soak.pick_target()
    target.fault = soak.random.choice(["mute", "reset", "cut", "busy", "double"])
    await asyncio.sleep(soak.random.uniform(0.3, 2.0))
    target.fault = ""


async def _restart(soak: Soak) -> None:
    target = soak.pick_target()
    target.restart()
    await target.register(target.registered_address)


async def _leave(soak: Soak) -> None:
    """List a target as draining for 2 s."""
    target = soak.pick_target()
    await target.register(target.registered_address, "draining")
    await asyncio.sleep(2.0)
    await target.register(target.registered_address)


async def _limit(soak: Soak) -> None:
    """Let a target name a limit for some seconds."""
    target = soak.notice_random.choice(soak.targets)
    if target.limit:
        return
    target.limit = soak.notice_random.choice(LIMITS)
    await asyncio.sleep(soak.notice_random.uniform(4.0, 9.0))
    soak.record_finding(target.limit_finding())
    target.limit = ""
    target.limited_at = None


async def _announce_leaving(soak: Soak) -> None:
    """Let a target say that it leaves, but not its entry, and then start again."""
    target = soak.notice_random.choice(soak.targets)
    # Answers don't tell the incarnation: a VM takes what the new one says for what the
    # one that it knows says, until the new one is listed.
    is_known = monotonic() - target.restarted_at >= LISTED_SECONDS
    if target.is_leaving or not is_known:
        return
    target.is_leaving = True
    await asyncio.sleep(soak.notice_random.uniform(3.0, 5.0))
    soak.record_finding(target.leaving_finding())
    target.restart()
    await target.register(target.registered_address)


async def _pause(soak: Soak) -> None:
    """Let a target turn calls away and ask for pauses."""
    target = soak.notice_random.choice(soak.targets)
    target.retry_after = soak.notice_random.choice(PAUSES)
    target.fault = "busy"
    await asyncio.sleep(soak.notice_random.uniform(0.5, 2.5))
    target.fault = ""


async def long_pause(soak: Soak) -> None:
    """Let a target ask for long pauses for a short time; check that VMs heed them."""
    rng = soak.pause_random
    target = rng.choice(soak.targets)
    life = target.started_at_ms
    target.retry_after = rng.choice(LONG_PAUSES)
    seconds = pause_seconds(target.retry_after)
    target.fault = "busy"
    await asyncio.sleep(rng.uniform(0.2, 0.6))
    target.fault = ""
    await asyncio.sleep(seconds)
    if target.started_at_ms != life:
        return
    for pause in target.pauses:
        soak.record_finding(pause_finding(soak, target, pause))
    target.pauses.clear()


async def async_let_targets_pause(soak: Soak) -> None:
    """Let targets ask for longer pauses, at random times."""
    rng = soak.pause_random
    end = asyncio.get_running_loop().time() + soak.seconds - MAX_PAUSE_SECONDS
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        soak.report.faults.append("long_pause")
        await long_pause(soak)


async def cut_links(soak: Soak, vms: list[Vm], how: LinkCut, seconds: float) -> None:
    """Cut VMs from all targets for a time; links that are cut already stay so."""
    links = [
        link
        for vm in vms
        for link in soak.links[vm.name].values()
        if link.placeholder is None
    ]
    for vm in vms:
        soak.record_network_fault(f"links of {vm.name}")
    for link in links:
        await link.async_cut(how)
    await asyncio.sleep(seconds)
    for link in links:
        await link.async_heal()
    for vm in vms:
        soak.record_heal(vm.name)


async def _foreign(soak: Soak) -> None:
    """Write an invalid server entry to the object store, small or large."""
    spec = soak.entry_random.choice(FOREIGN_ENTRIES)
    await soak.store.put("servers", "foreign", spec)


async def _document(soak: Soak) -> None:
    """Write a routing document without the revoked key."""
    soak.document_version += 1
    await soak.async_put_document([API_KEY])


async def name_weights(soak: Soak) -> None:
    """Request a new weight version of the model."""
    soak.weight_version += 1
    spec = {"model": "m0", "version": soak.weight_version}
    await soak.store.put("versions", "m0", spec)


FOREIGN_ENTRIES: Final[list[dict[str, Any]]] = [
    {"service": 7, "addr": None},
    {"service": "plain", "addr": "127.0.0.1:1", "models": "0," * 510_000},
    {"service": "plain", "addr": "127.0.0.1:1", "models": [[0]] * 150_000},
]


FAULTS: list[Callable[[Soak], Coroutine[Any, Any, None]]] = [
    _kill,
    _terminate,
    _freeze,
    _hang_up,
    _cut,
    _reset,
    _store,
    _forget,
    _target,
    _restart,
    _leave,
    _foreign,
    _document,
    name_weights,
]


NOTICES: list[Callable[[Soak], Coroutine[Any, Any, None]]] = [
    _limit,
    _announce_leaving,
    _pause,
]
