"""Names of headers, paths and object kinds in the platform's protocols."""

from __future__ import annotations

from typing import Final

REQUEST_ID_HEADER: Final = b"gypsumsail-request-id"
DEADLINE_HEADER: Final = b"gypsumsail-deadline-ms"
MODEL_HEADER: Final = b"gypsumsail-model"
TOKEN_COUNT_HEADER: Final = b"gypsumsail-token-count"
PROMPT_PARTS_HEADER: Final = b"gypsumsail-prompt-prefix"
TARGET_NAME_HEADER: Final = b"gypsumsail-target-instance"
"""Name of the addressed target in a request; see also `INSTANCE_ID_HEADER`."""
CUSTOMER_HEADER: Final = b"gypsumsail-tenant"
REQUEST_PRIORITY_HEADER: Final = b"gypsumsail-request-priority"
CACHE_SALT_HEADER: Final = b"gypsumsail-cache-salt"
EXPECTED_VERSION_HEADER: Final = b"gypsumsail-expect-version"
FETCH_FROM_HEADER: Final = b"gypsumsail-kv-fetch"
SAVE_TO_HEADER: Final = b"gypsumsail-kv-save"
FETCH_UNTIL_HEADER: Final = b"gypsumsail-kv-until"
LAST_EVENT_ID_HEADER: Final = b"last-event-id"
RESUMES_HEADER: Final = b"resumes"
"""Id of the request that brought the first event of the stream that is taken up."""
SERVER_STAMP_HEADER: Final = b"gypsumsail-server-stamp"
"""Signature that a target adds to its answer; only its presence is checked."""
NOT_RUN_HEADER: Final = b"gypsumsail-not-run"
INSTANCE_ID_HEADER: Final = b"gypsumsail-instance-id"
"""Name of the target that sent an answer."""
SERVER_LOAD_HEADER: Final = b"gypsumsail-server-load"
SERVER_LIMIT_HEADER: Final = b"server-limit"
"""Calls per second that a target takes from all VMs together, a decimal number."""
SERVER_LEAVING_HEADER: Final = b"server-leaving"
"""Set to 1 in all answers of a target that is about to leave."""
COLD_HEADER: Final = b"gypsumsail-cold-ms"
"""Milliseconds for which a target stays cold, as of the time of its answer."""
RETRY_AFTER_HEADER: Final = b"retry-after"
"""In a target's answer 503: seconds for which it wants no call from this VM."""
STORE_ERA_HEADER: Final = b"store-era"
"""Number of the store's restores from an older copy, in all of its answers."""
WEIGHT_VERSIONS_HEADER: Final = b"gypsumsail-weight-versions"

LENGTH_HINT_HEADER: Final = b"gypsumsail-length-hint"

END_TO_END_HEADERS: Final = frozenset(
    {
        REQUEST_ID_HEADER,
        MODEL_HEADER,
        TOKEN_COUNT_HEADER,
        PROMPT_PARTS_HEADER,
        LENGTH_HINT_HEADER,
        RESUMES_HEADER,
        b"host",
        b"content-type",
    }
)
"""Headers that reach the target even if a caller's ``Connection`` header names them.

A sender must not name headers of the request there (RFC 9110, 7.6.1), and without these
the target would run another request.
"""

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

STRIPPED_REQUEST_HEADERS: Final = frozenset(
    {
        DEADLINE_HEADER,
        TARGET_NAME_HEADER,
        CUSTOMER_HEADER,
        REQUEST_PRIORITY_HEADER,
        CACHE_SALT_HEADER,
        EXPECTED_VERSION_HEADER,
        FETCH_FROM_HEADER,
        SAVE_TO_HEADER,
        FETCH_UNTIL_HEADER,
        LAST_EVENT_ID_HEADER,
        b"authorization",
        b"gypsumsail-pin-ms",
        b"gypsumsail-hold",
        b"gypsumsail-kv-backup",
        b"kv-from",
    }
)
"""Headers whose values from a caller are never forwarded to a target.

The gateway sets some of them itself, and reads the API key and the last event ID. The
last four are reserved by the platform, and the gateway does not use them.
"""

KNOWN_REQUEST_HEADERS: Final = (
    CONNECTION_HEADERS | STRIPPED_REQUEST_HEADERS | END_TO_END_HEADERS
)

READY_PATH: Final = b"/v1/readyz"
OBJECTS_PATH: Final = "/v1/objects"
REPORT_PATH: Final = "/v1/report"
ORDER_PATH: Final = "/v1/order"
CACHE_EVENTS_PATH: Final = "/v1/kv-events"
CACHE_LIST_PATH: Final = "/v1/kv-list"
CACHE_FREE_PATH: Final = "/v1/kv-free"

ROUTING_DOCUMENT_KIND: Final = "config"
ROUTING_DOCUMENT_KEY: Final = "config/main"
TARGET_KIND: Final = "servers"
WEIGHTS_KIND: Final = "versions"
EVACUATION_KIND: Final = "evacuations"
"""Object kind of the evacuated zones; the name of an object is that of its zone."""
VM_KIND: Final = "gypsumsail-vms"
"""Object kind that belongs to the gateway; it has one object for each VM."""
KEPT_STATE_KIND: Final = "gypsumsail-kept-state"
"""Object kind that belongs to the gateway; one object for each VM that writes."""
KEPT_PARTS_KIND: Final = "gypsumsail-kept-parts"
"""Object kind that belongs to the gateway; one object for each context store."""
SETTINGS_PATH_VARIABLE: Final = "GYPSUMSAIL_CONFIG"
