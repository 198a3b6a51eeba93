"""Builder of a VM whose store can't be reached."""

from __future__ import annotations

import os

from gypsumsail.core.clock import SystemClock
from gypsumsail.logs.line_writer import LineWriter
from gypsumsail.platform.app import make_ports
from gypsumsail.platform.settings import load_settings
from gypsumsail.vm.runtime import VmRuntime
from soak.vms import Vm


def offline_vm() -> VmRuntime:
    """Return a VM that has not been started; nothing listens where its store is."""
    vm = Vm("v0", "127.0.0.10", "z0", 20_000)
    vm.write_settings("127.0.0.1:1", [])
    path = vm.directory / "boot.toml"
    settings = load_settings(path)
    clock = SystemClock()
    writer = LineWriter(os.open(os.devnull, os.O_WRONLY))
    return VmRuntime(settings, make_ports(settings, path, clock), clock, writer, None)
