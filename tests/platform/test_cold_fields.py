"""Tests of what the platform states about cold targets; invalid values mean cold."""

from __future__ import annotations

from pathlib import Path

import pytest

from gypsumsail.cold_targets.const import DEFAULT_COLD_PER_SECOND, DEFAULT_COLD_SECONDS
from gypsumsail.cold_targets.models import (
    ColdBound,
    ColdStatement,
    ColdTerms,
    InvalidCold,
    NamedCold,
)
from gypsumsail.gateway.part_cache import PartCache
from gypsumsail.gateway.targets import TargetState
from gypsumsail.platform.calls import parse_answer_head
from gypsumsail.platform.documents import decode_document
from gypsumsail.platform.notices import parse_notices
from gypsumsail.platform.settings import load_settings
from gypsumsail.transport.exchange import ExchangeConnection
from tests.gateway.common import engine
from tests.platform.test_settings import VALID_SETTINGS

SOUND = ColdTerms(seconds=12.0, per_second=9.5)
LOW_RATE = ColdTerms(seconds=12.0, per_second=DEFAULT_COLD_PER_SECOND)
LONG_TIME = ColdTerms(seconds=DEFAULT_COLD_SECONDS, per_second=9.5)


@pytest.mark.parametrize(
    ("fields", "terms", "invalid"),
    [
        ("", None, []),
        (',"cold_s":0,"cold_per_s":-1', None, []),
        (',"cold_s":12,"cold_per_s":9.5', SOUND, []),
        (',"cold_s":12', LOW_RATE, ["services.a.cold_per_s"]),
        (',"cold_s":12,"cold_per_s":1e999', LOW_RATE, ["services.a.cold_per_s"]),
        (',"cold_s":12,"cold_per_s":0', LOW_RATE, ["services.a.cold_per_s"]),
        (',"cold_s":-1,"cold_per_s":9.5', LONG_TIME, ["services.a.cold_s"]),
        (',"cold_s":NaN,"cold_per_s":9.5', LONG_TIME, ["services.a.cold_s"]),
        (',"cold_s":"x","cold_per_s":9.5', LONG_TIME, ["services.a.cold_s"]),
        (',"cold_s":1e99,"cold_per_s":9.5', LONG_TIME, ["services.a.cold_s"]),
    ],
)
def test_terms_of_a_service(
    fields: str, terms: ColdTerms | None, invalid: list[str]
) -> None:
    services = '[{"name":"a"' + fields + "}]"
    value = '{"version":1,"routes":[],"services":' + services + "}"
    document = decode_document(value.encode(), 1)
    assert document.services["a"].cold == terms
    assert list(document.invalid_fields) == invalid


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], None),
        ([b"1500"], NamedCold(seconds=1.5)),
        ([b"0", b"20"], NamedCold(seconds=0.02)),
        ([b"-1"], InvalidCold(text="-1")),
        ([b"nan"], InvalidCold(text="nan")),
        ([b"1e12"], InvalidCold(text="1e12")),
    ],
)
def test_cold_header(values: list[bytes], expected: ColdStatement | None) -> None:
    headers = [(b"gypsumsail-cold-ms", value) for value in values]
    assert parse_notices(200, headers, dict(headers)).cold == expected


@pytest.mark.parametrize(
    ("load", "factor"),
    [
        (b"3,1,8", None),
        (b"3, 1, 8, 250", 2.5),
        (b"3,1,8,0", None),
        (b"3,1,8,-5", None),
        (b"3,1,8,nan", None),
        (b"3,1,8,1e300", None),
    ],
)
async def test_work_factor_that_is_invalid_costs_no_other_figure(
    load: bytes, factor: float | None
) -> None:
    connection = ExchangeConnection()
    connection.status, connection.headers = 200, [(b"gypsumsail-server-load", load)]
    found = parse_answer_head(connection, 5.0).load
    assert found is not None
    assert (found.running, found.waiting, found.work_factor) == (3, 1, factor)
    state = TargetState(entry=engine(), cache=PartCache(0))
    is_named = [state.record_load(found) for _ in range(2)]
    assert is_named == [factor is None and load.count(b",") > 2, False]


def test_bound_is_read_from_the_settings(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    assert "[bounds]" in VALID_SETTINGS
    stated = VALID_SETTINGS.replace("[bounds]", "[bounds]\ncold_over = 2\ncold_slack=1")
    for text, bound in ((VALID_SETTINGS, (1.5, 5.0)), (stated, (2.0, 1.0))):
        path.write_text(text, encoding="utf-8")
        expected = ColdBound(over=bound[0], slack=bound[1])
        assert load_settings(path).cold_bound == expected
