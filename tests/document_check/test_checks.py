"""Tests of the findings about routing documents; each guards against a missed one."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumsail.document_check.differences import compare
from gypsumsail.platform.document_check import read_document
from gypsumsail.platform.documents import EntryInvalidError, decode_document
from tests.catalog.common import document_spec
from tests.document_check.common import KEY, ROUTE, SERVICE, encode, findings, route
from tests.fuzzing import fuzz_settings

SPLIT = [{"service": "portal", "weight": 0}, {"service": "gone", "weight": 2}]
TENANTS = [
    {"name": "a", "api_keys": [KEY, "", "k2", "k2"]},
    {"name": "b", "api_keys": [KEY]},
    {"name": "c"},
]
LIMITS = {"header_timeout_ms": 20_000, "max_body_bytes": 2_000}


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, {}),
        ({"routes": [ROUTE, route(path_prefix="/a/")]}, {"routes[s].path_prefix": 0}),
        ({"routes": [ROUTE, route(path_prefix="x")]}, {"routes[s].path_prefix": 0}),
        ({"routes": [ROUTE, route(host="a:80")]}, {"routes[s].host": 0}),
        ({"routes": [ROUTE, route(name="r")]}, {"routes[r] (2)": 0}),
        ({"routes": [ROUTE, route(service="x")]}, {"routes[s].service": 1}),
        (
            {"routes": [ROUTE, route(split=SPLIT)]},
            {"routes[s].split[0].weight": 0, "routes[s].split[1].service": 1},
        ),
        ({"routes": [route(split=SPLIT[:1])]}, {"routes[s].split[0].weight": 0}),
        ({"routes": [route(goal_ms=2_001)]}, {"routes[s].goal_ms": 0}),
        ({"routes": [route(timeout_ms=0, goal_ms=59_999)]}, {}),
        ({"routes": [route(kind="unsafe")]}, {"routes[s].attempts": 0}),
        ({"routes": [route(resumable=True)]}, {"routes[s].resumable": 0}),
        ({"routes": [route(home_regions=7)]}, {"routes[s].home_regions": 1}),
        ({"routes": [route(atempts=7)]}, {"routes[s].atempts": 0}),
        ({"services": [SERVICE, {"name": "x"}]}, {"services[x]": 0}),
        ({"services": [SERVICE, SERVICE]}, {"services[portal] (2)": 1}),
        ({"services": [SERVICE | {"cold_s": 5}]}, {"services[portal].cold_per_s": 1}),
        (
            {"services": [SERVICE, {"name": "x", "kv_store_addr": "y"}]},
            {"services[x].kv_store_addr": 1},
        ),
        (
            {"tenants": TENANTS},
            {
                "tenants[a].api_keys[1]": 0,
                "tenants[a].api_keys[3]": 0,
                "tenants[b].api_keys[0]": 1,
                "tenants[c].api_keys": 0,
            },
        ),
        (
            {"limits": LIMITS},
            {"limits.header_timeout_ms": 0, "limits.max_body_bytes": 1},
        ),
    ],
)
def test_findings_of_accepted_documents(
    changes: dict[str, Any], expected: dict[str, int]
) -> None:
    memory_bytes = 1_000 if "limits" in changes else 0
    severities = {place: ["warning", "error"][x] for place, x in expected.items()}
    assert findings(encode(**changes), memory_bytes) == severities


def test_rejected_document_names_the_errors_of_all_entries() -> None:
    routes = [route(timeout_ms="1"), {"name": 7}, route(name="t", kind="x")]
    data = json.dumps({"routes": routes, "services": 7, "tenants": [{}]}).encode()
    assert set(findings(data)) == {
        "version",
        "routes[s].timeout_ms",
        "routes[1].name",
        "routes[t].kind",
        "services",
        "tenants[0]",
    }


def test_broken_file_names_line_and_column() -> None:
    (found,) = read_document(b'{"version": 1,\n "routes": [}').findings
    assert "line 2, column 13" in found.message


def test_differences_name_entries_and_fields_but_no_key() -> None:
    old = read_document(encode(tenants=TENANTS[1:2], routes=[ROUTE, route()])).decoded
    tenants = [{"name": "b", "api_keys": ["k2"]}]
    changed = document_spec(2, tenants=tenants, routes=[ROUTE | {"attempts": 3}])
    new = read_document(json.dumps({"spec": changed}).encode()).decoded
    assert old is not None
    assert new is not None
    lines = [str(item) for item in compare(old, new)]
    assert lines == [
        "changed: routes[r].attempts: 2 -> 3",
        "removed: routes[s]",
        "changed: tenants[b].api_keys: 1 added, 1 removed",
        "changed: version: 1 -> 2",
    ]
    assert KEY not in repr((old.customers, old.entries))
    assert compare(new, new) == ()


VALUES = st.recursive(
    st.none() | st.integers() | st.floats() | st.text(st.characters(), max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
NAMES = st.sampled_from(["version", "routes", "services", "limits", "tenants", "spec"])
BROKEN = st.dictionaries(NAMES, VALUES, max_size=2).map(lambda x: encode(**x))


@fuzz_settings(200)
@given(BROKEN | st.binary(max_size=40) | VALUES.map(lambda x: json.dumps(x).encode()))
def test_check_accepts_what_vms_accept(data: bytes) -> None:
    """A document that VMs reject must have an error, and no input ends the check."""
    reading = read_document(data)
    try:
        decode_document(data, 0)
    except EntryInvalidError:
        assert reading.decoded is None
        assert reading.findings
    else:
        assert reading.decoded is not None
