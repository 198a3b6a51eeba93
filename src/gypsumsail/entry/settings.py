"""Settings of an entry, validated completely before anything is started."""

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
    """Format of the log lines."""

    JSON = "json"
    TEXT = "text"


class LogLevel(StrEnum):
    """Minimum level of the messages that are logged."""

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
        Addresses for callers and operators, and for other entries.
    platform_url
        Address of the platform's object API.
    peer_secret
        Secret shared by the entries of a deployment; authenticates peers.
    operator_key
        Key that grants access to the operator API.
    seed_peers
        Peer URLs to connect to while the platform's VM list is unavailable.
    drain_seconds
        Maximum seconds that a graceful shutdown waits for requests in flight.
    body_limit
        Maximum size of a request body in bytes.
    routing_policy
        Name of the policy that selects targets.
    timeline_retention_days
        Days for which the platform stores archived timeline events.
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
    values: Mapping[str, Any], option_names: Mapping[str, str]
) -> EntrySettings:
    """Validate raw settings and return them.

    Parameters
    ----------
    values
        Raw values by field name; fields that were not set are left out. A secret
        may be given under its own name, or as a file path under ``<name>_file``.
    option_names
        Flag or environment variable of each field.

    Raises
    ------
    SettingsInvalidError
        Settings are invalid; lists all findings with their flag or variable.
    """
    raw = dict(values)
    findings: list[Finding] = []
    for name in ("peer_secret", "operator_key"):
        findings += _load_secret_file(raw, name, option_names)
    failed = {finding.path for finding in findings}
    try:
        settings = EntrySettings.model_validate(raw)
    except ValidationError as err:
        findings += [
            finding
            for finding in _findings_of(err, option_names)
            if finding.path.partition("[")[0] not in failed
        ]
    if findings:
        raise SettingsInvalidError(findings)
    return settings


def _load_secret_file(
    raw: dict[str, Any], name: str, option_names: Mapping[str, str]
) -> list[Finding]:
    file_name = f"{name}_file"
    path = raw.pop(file_name, None)
    if path is None:
        return []
    place = option_names.get(file_name, file_name)
    if name in raw:
        other = option_names.get(name, name)
        return [Finding(place=place, path=name, message=f"is also set by {other}")]
    try:
        raw[name] = _read_secret(Path(path))
    except (OSError, ValueError) as err:
        reason = (
            err.strerror if isinstance(err, OSError) else "too large or not UTF-8 text"
        )
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


def _findings_of(
    err: ValidationError, option_names: Mapping[str, str]
) -> list[Finding]:
    findings = []
    for error in err.errors(include_url=False, include_input=False):
        field = str(error["loc"][0])
        path = field + "".join(f"[{part}]" for part in error["loc"][1:])
        message = error["msg"].removeprefix("Value error, ")
        findings.append(
            Finding(place=option_names.get(field, field), path=path, message=message)
        )
    return findings
