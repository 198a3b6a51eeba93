"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

from math import isfinite
from pathlib import Path
import tomllib
from typing import Any

import msgspec

from gypsumsail.catalog.freshness import ChangeBounds
from gypsumsail.cold_targets.models import ColdBound
from gypsumsail.core.findings import Finding, SettingsInvalidError
from gypsumsail.core.units import BYTES_PER_MEGABYTE, MILLISECONDS_PER_SECOND
from gypsumsail.gateway.models import Address
from gypsumsail.gateway.retry_budget import RetryLimit
from gypsumsail.platform.text import MAX_NAME_LENGTH, parse_address
from gypsumsail.vm.settings import VmSettings


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str
    control: str = ""


class _Limits(msgspec.Struct, frozen=True):
    ram_mb: float = 0.0


class _Bounds(msgspec.Struct, frozen=True):
    """Limits of the gateway's algorithms; missing fields take these defaults.

    Attributes
    ----------
    grace_s
        Maximum time from the first stop signal to the exit of the process.
    drain_ms
        Time limit, from when a target's entry says that it leaves or is gone, after
        which it may get no call.
    config_ms
        Time limit in which a routing document must be in force.
    retry_ratio, retry_window_s, retry_slack
        Limit on retries, see ``RetryLimit``; the slack is a number of retries.
    lease_ms
        Minimum time between orders of two lease holders.
    version_ms
        Time limit of a rollout, counted from when a weights object names a new version;
        after it, no call may use an older version.
    cold_over, cold_slack
        Bound on the requests that a cold target gets, see ``ColdBound``.
    evac_ms
        Time limit after which no call may reach a target of an evacuated zone; 0 where
        there are no evacuations.
    """

    grace_s: float = 8.0
    drain_ms: float = 2000.0
    config_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 54.0
    lease_ms: float = 3000.0
    version_ms: float = 12000.0
    cold_over: float = ColdBound().over
    cold_slack: float = ColdBound().slack
    evac_ms: float = 0.0


class _Infra(msgspec.Struct, frozen=True):
    """The platform's object store, which the file names ``infra``.

    ``value_bytes`` is checked, but not used by the gateway.
    """

    addr: str
    value_bytes: int = 1048576


class _SettingsFile(msgspec.Struct, frozen=True):
    """The settings file; ``first_start`` is checked, but not used.

    ``zones`` has the region of each zone, and ``region`` that of this VM. They are read
    one by one, as files from before there were home regions may hold anything there.
    """

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: _Listen
    infra: _Infra
    region: Any = ""
    zones: Any = None
    seeds: list[str] = []
    first_start: bool = False
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def load_settings(path: Path) -> VmSettings:
    """Read and validate the settings of this process; unknown fields are ignored.

    Raises
    ------
    SettingsInvalidError
        The file can't be read, or fields are missing or invalid. The error lists
        the findings, each with its field.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as err:
        # Besides malformed text, the parser rejects long numbers and deep nesting.
        finding = Finding(place=str(path), message=f"can't be read: {err}")
        raise SettingsInvalidError([finding]) from err
    findings: list[Finding] = []
    file = _convert(raw, str(path), findings)
    if file is None:
        raise SettingsInvalidError(findings)
    addresses = {
        "listen.front": file.listen.front,
        "listen.ready": file.listen.ready,
        "infra.addr": file.infra.addr,
    }
    if file.listen.control:
        addresses["listen.control"] = file.listen.control
    parsed: dict[str, Address] = {}
    for field, text in addresses.items():
        address = parse_address(text)
        if address is None:
            findings.append(_finding(path, field, "must have the form IP:PORT"))
        else:
            parsed[field] = address
    findings += [
        _finding(path, f"bounds.{field}", "must be a finite number, and not negative")
        for field, value in msgspec.structs.asdict(file.bounds).items()
        if not isfinite(value) or value < 0
    ]
    if findings:
        raise SettingsInvalidError(findings)
    return _settings(file, parsed)


def _finding(place: Path | str, field: str, message: str) -> Finding:
    """Return a finding about a field of the settings file at ``place``."""
    return Finding(place=str(place), path=field, message=message)


def _convert(
    raw: dict[str, Any], place: str, findings: list[Finding]
) -> _SettingsFile | None:
    """Convert each field separately, so that all findings are reported together."""
    for field in msgspec.structs.fields(_SettingsFile):
        if field.name not in raw:
            if field.required:
                findings.append(_finding(place, field.name, "is missing"))
            continue
        try:
            msgspec.convert(raw[field.name], field.type, strict=False)
        except msgspec.ValidationError as err:
            findings.append(_finding(place, field.name, str(err)))
    return None if findings else msgspec.convert(raw, _SettingsFile, strict=False)


def _settings(file: _SettingsFile, addresses: dict[str, Address]) -> VmSettings:
    bounds = file.bounds
    regions, invalid_regions = _regions(file)
    # Malformed seeds are ignored. Only the hosts are used, since all VMs of a
    # deployment have the same gossip port, the first of the port range.
    seeds = tuple(
        address for text in file.seeds if (address := parse_address(text)) is not None
    )
    return VmSettings(
        vm=file.node,
        host=file.ip,
        zone=file.zone,
        caller_address=addresses["listen.front"],
        readiness_address=addresses["listen.ready"],
        control_address=addresses.get("listen.control"),
        gossip_port=file.port_range[0],
        seed_hosts=tuple(seed.host for seed in seeds),
        object_store=addresses["infra.addr"],
        grace_seconds=bounds.grace_s,
        retry_limit=RetryLimit(
            ratio=bounds.retry_ratio,
            window=bounds.retry_window_s,
            slack=bounds.retry_slack,
        ),
        min_holder_gap_seconds=bounds.lease_ms / MILLISECONDS_PER_SECOND,
        change_bounds=ChangeBounds(
            document=bounds.config_ms / MILLISECONDS_PER_SECOND,
            leaving=bounds.drain_ms / MILLISECONDS_PER_SECOND,
            weights=bounds.version_ms / MILLISECONDS_PER_SECOND,
            evacuation=bounds.evac_ms / MILLISECONDS_PER_SECOND,
        ),
        rollout_seconds=bounds.version_ms / MILLISECONDS_PER_SECOND,
        cold_bound=ColdBound(over=bounds.cold_over, slack=bounds.cold_slack),
        memory_bytes=int(file.limits.ram_mb * BYTES_PER_MEGABYTE),
        regions=regions,
        invalid_regions=invalid_regions,
    )


def _regions(file: _SettingsFile) -> tuple[dict[str, str], tuple[str, ...]]:
    """Return the region of each zone, and the fields that can't be read."""
    zones = file.zones if isinstance(file.zones, dict) else {}
    regions = {zone: region for zone, region in zones.items() if _is_region(region)}
    invalid = [f"zones.{zone}" for zone in zones if zone not in regions]
    if file.zones is not None and zones is not file.zones:
        invalid.append("zones")
    if _is_region(file.region):
        regions.setdefault(file.zone, file.region)
    elif file.region != "":
        invalid.append("region")
    return regions, tuple(invalid)


def _is_region(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH
