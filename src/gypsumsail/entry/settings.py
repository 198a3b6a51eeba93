"""Settings of an entry, checked whole before anything starts."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any, Final

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    ValidationError,
)

from gypsumsail.core.findings import Finding, SettingsInvalidError
from gypsumsail.entry.addresses import (
    Address,
    HttpUrl,
    ListenAddress,
    PeerUrl,
)
from gypsumsail.routing.const import DEFAULT_POLICY
from gypsumsail.routing.policies import POLICIES
from gypsumsail.timeline.const import ARCHIVE_RETENTION_DAYS

MIN_SECRET_LENGTH: Final = 16
MAX_SECRET_FILE_BYTES: Final = 4_096
MAX_BODY_LIMIT_BYTES: Final = 256 * 1024 * 1024
MAX_RETENTION_DAYS: Final = 3_650
NAME_PATTERN: Final = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"


class LogFormat(StrEnum):
    """How log lines are written."""

    JSON = "json"
    TEXT = "text"


class LogLevel(StrEnum):
    """Least level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def _check_secret(value: SecretStr) -> SecretStr:
    if len(value) < MIN_SECRET_LENGTH:
        msg = f"must have at least {MIN_SECRET_LENGTH} characters"
        raise ValueError(msg)
    return value


def _check_policy(value: str) -> str:
    if value not in POLICIES:
        msg = f"must be one of {', '.join(sorted(POLICIES))}"
        raise ValueError(msg)
    return value


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
PolicyName = Annotated[str, AfterValidator(_check_policy)]
Secret = Annotated[SecretStr, AfterValidator(_check_secret)]


class EntrySettings(BaseModel):
    """Settings of one entry process.

    Attributes
    ----------
    listen, peer_listen
        Where callers and operators, and where other entries connect.
    platform_url
        Address of the platform's object API.
    peer_secret
        Shared by the entries of a deployment; proves that a peer is one.
    operator_key
        Opens the operator API.
    seed_peers
        Peer links to try while the platform's list can't be had.
    drain_seconds
        Seconds that a graceful shutdown waits for the requests in flight.
    body_limit
        Bytes of the largest request body that is taken.
    routing_policy
        Name of the policy that chooses targets.
    timeline_retention_days
        Days for which the platform keeps archived events of the time line.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: Name
    zone: Name
    region: Name = "local"
    listen: ListenAddress = Address(host="127.0.0.1", port=0)
    peer_listen: ListenAddress = Address(host="127.0.0.1", port=0)
    platform_url: HttpUrl
    peer_secret: Secret
    operator_key: Secret
    seed_peers: tuple[PeerUrl, ...] = ()
    log_format: LogFormat = LogFormat.JSON
    log_level: LogLevel = LogLevel.INFO
    drain_seconds: float = Field(default=30.0, ge=0, le=86_400, allow_inf_nan=False)
    body_limit: int = Field(default=8 * 1024 * 1024, ge=1024, le=MAX_BODY_LIMIT_BYTES)
    routing_policy: PolicyName = DEFAULT_POLICY
    timeline_retention_days: int = Field(
        default=ARCHIVE_RETENTION_DAYS, ge=1, le=MAX_RETENTION_DAYS
    )


def load_settings(
    values: Mapping[str, Any], places: Mapping[str, str]
) -> EntrySettings:
    """Check raw settings and return them.

    Parameters
    ----------
    values
        Raw values by field name, without those that were not given. A secret
        may stand under its own name or in a file under ``<name>_file``.
    places
        Flag or variable that each field is set by.

    Raises
    ------
    SettingsInvalidError
        With all findings, each with its flag or variable.
    """
    raw = dict(values)
    findings: list[Finding] = []
    for name in ("peer_secret", "operator_key"):
        findings += _load_secret_file(raw, name, places)
    failed = {finding.path for finding in findings}
    try:
        settings = EntrySettings.model_validate(raw)
    except ValidationError as err:
        findings += [
            finding
            for finding in _findings_of(err, places)
            if finding.path.partition("[")[0] not in failed
        ]
    if findings:
        raise SettingsInvalidError(findings)
    return settings


def _load_secret_file(
    raw: dict[str, Any], name: str, places: Mapping[str, str]
) -> list[Finding]:
    file_name = f"{name}_file"
    path = raw.pop(file_name, None)
    if path is None:
        return []
    place = places.get(file_name, file_name)
    if name in raw:
        other = places.get(name, name)
        return [Finding(place=place, path=name, message=f"is given by {other} too")]
    try:
        raw[name] = _read_secret(Path(path))
    except (OSError, ValueError) as err:
        reason = err.strerror if isinstance(err, OSError) else "not a short text file"
        message = f"the file can't be read: {reason}"
        return [Finding(place=place, path=name, message=message)]
    return []


def _read_secret(path: Path) -> str:
    with path.open("rb") as file:
        content = file.read(MAX_SECRET_FILE_BYTES + 1)
    if len(content) > MAX_SECRET_FILE_BYTES:
        msg = "too large"
        raise ValueError(msg)
    return content.decode().strip()


def _findings_of(err: ValidationError, places: Mapping[str, str]) -> list[Finding]:
    findings = []
    for error in err.errors(include_url=False, include_input=False):
        field = str(error["loc"][0])
        path = field + "".join(f"[{part}]" for part in error["loc"][1:])
        message = error["msg"].removeprefix("Value error, ")
        findings.append(
            Finding(place=places.get(field, field), path=path, message=message)
        )
    return findings
