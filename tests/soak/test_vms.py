"""Tests of the processes of the soak."""

from __future__ import annotations

import asyncio
import tomllib

import pytest

from soak.run import find_base_port
from soak.vms import Vm


async def test_overlapping_starts_start_one_process() -> None:
    vm = Vm("v0", "127.0.0.10", "z0", find_base_port())
    vm.write_settings("127.0.0.1:9", [])
    await asyncio.gather(vm.async_start(), vm.async_start())
    assert [step for _, step in vm.history] == ["start"]
    await vm.async_kill()


@pytest.mark.parametrize("has_zones", [False, True])
def test_settings_have_the_bounds_and_zones_of_the_run_only(has_zones: bool) -> None:
    vm = Vm("v0", "127.0.0.10", "z0", 20_000)
    if has_zones:
        vm.bounds = {"evac_ms": 4000.0, "cold_over": 1.5}
        vm.regions = {"z0": "region-z0"}
    vm.write_settings("127.0.0.1:9", [])
    settings = tomllib.loads((vm.directory / "boot.toml").read_text())
    assert settings.get("zones") == ({"z0": "region-z0"} if has_zones else None)
    found = {name: settings["bounds"].get(name) for name in ("evac_ms", "cold_over")}
    assert found == (
        {"evac_ms": 4000, "cold_over": 1.5}
        if has_zones
        else {"evac_ms": None, "cold_over": None}
    )
