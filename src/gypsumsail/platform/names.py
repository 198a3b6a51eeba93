"""Names of headers, paths and object kinds in the platform's protocols."""

from __future__ import annotations

from typing import Final

REQUEST_ID: Final = b"gypsumsail-request-id"
DEADLINE: Final = b"gypsumsail-deadline-ms"
MODEL: Final = b"gypsumsail-model"
TOKEN_COUNT: Final = b"gypsumsail-token-count"
PROMPT_PARTS: Final = b"gypsumsail-prompt-prefix"
TARGET_NAME: Final = b"gypsumsail-target-instance"
CUSTOMER: Final = b"gypsumsail-tenant"
REQUEST_PRIORITY: Final = b"gypsumsail-request-priority"
CACHE_SALT: Final = b"gypsumsail-cache-salt"
EXPECTED_VERSION: Final = b"gypsumsail-expect-version"
FETCH_FROM: Final = b"gypsumsail-kv-fetch"
SAVE_TO: Final = b"gypsumsail-kv-save"
FETCH_UNTIL: Final = b"gypsumsail-kv-until"
LAST_EVENT_ID: Final = b"last-event-id"
SERVER_STAMP: Final = b"gypsumsail-server-stamp"
NOT_RUN: Final = b"gypsumsail-not-run"
INSTANCE_ID: Final = b"gypsumsail-instance-id"
SERVER_LOAD: Final = b"gypsumsail-server-load"
WEIGHT_VERSIONS: Final = b"gypsumsail-weight-versions"

CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that apply to a single connection and are not forwarded either way."""

GATEWAY_HEADERS: Final = frozenset(
    {
        DEADLINE,
        TARGET_NAME,
        CUSTOMER,
        REQUEST_PRIORITY,
        CACHE_SALT,
        EXPECTED_VERSION,
        FETCH_FROM,
        SAVE_TO,
        FETCH_UNTIL,
        LAST_EVENT_ID,
        b"authorization",
        b"gypsumsail-pin-ms",
        b"gypsumsail-hold",
        b"gypsumsail-kv-backup",
        b"kv-from",
    }
)
"""Headers whose values from a caller are never forwarded to a target."""

READY_PATH: Final = b"/v1/readyz"
OBJECTS_PATH: Final = "/v1/objects"
REPORT_PATH: Final = "/v1/report"
ORDER_PATH: Final = "/v1/order"
CACHE_EVENTS_PATH: Final = "/v1/kv-events"
CACHE_LIST_PATH: Final = "/v1/kv-list"
CACHE_FREE_PATH: Final = "/v1/kv-free"

DOCUMENT_KIND: Final = "config"
DOCUMENT_KEY: Final = "config/main"
TARGET_KIND: Final = "servers"
WEIGHTS_KIND: Final = "versions"
VM_KIND: Final = "gypsumsail-vms"
"""Object kind that belongs to the gateway; it has one object for each VM."""
SETTINGS_PATH_VARIABLE: Final = "GYPSUMSAIL_CONFIG"
