"""Tests of log lines, and a check of all logging calls in the source tree."""

from __future__ import annotations

import ast
import asyncio
from collections.abc import Iterator
import io
import json
import logging
from pathlib import Path

import pytest

import gypsumsail
from gypsumsail.entry.settings import load_settings
from gypsumsail.logs.request import request_log_context
from gypsumsail.logs.setup import setup_logs
from tests.entry.test_settings import settings_values

LOGGER = logging.getLogger("gypsumsail.test")
FORBIDDEN_NAMES = {
    "api_key",
    "authorization",
    "body",
    "idempotency_key",
    "key_digests",
    "operator_key",
    "peer_secret",
    "prompt",
    "secret",
    "text",
    "token",
    "tokens",
}


@pytest.fixture(autouse=True)
def _restore_logs() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = root.handlers, root.level
    yield
    root.handlers, root.level = handlers, level


def open_logs(log_format: str) -> io.StringIO:
    stream = io.StringIO()
    values = settings_values(log_format=log_format, log_level="info")
    setup_logs(load_settings(values, {}), stream)
    return stream


async def test_each_line_contains_the_request_id_of_its_task() -> None:
    stream = open_logs("json")

    async def serve(request_id: str) -> None:
        with request_log_context(request_id):
            await asyncio.sleep(0)
            LOGGER.info("served %d", 1)

    await asyncio.gather(serve("r1"), serve("r2"))
    LOGGER.info("idle")
    logging.getLogger("httpx").info("HTTP Request: GET http://127.0.0.1")

    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["request"] for line in lines] == ["r1", "r2", "-"]
    assert lines[0]["entry"] == "entry-1"
    assert lines[0]["message"] == "served 1"


@pytest.mark.parametrize("log_format", ["json", "text"])
def test_prompts_and_keys_are_redacted(log_format: str) -> None:
    stream = open_logs(log_format)

    LOGGER.info("call with operator-key-of-the-test")
    LOGGER.info("headers {'Authorization': 'Bearer sk-caller'}")
    LOGGER.info("sent bearer sk-second to the target")
    LOGGER.info('body {"prompt": "Flight \\"AF 12\\" was late", "max_tokens": 5}')
    LOGGER.info("first\nsecond")
    try:
        raise ValueError("Flight AF 12 was late")
    except ValueError:
        LOGGER.exception("Relay failed")

    logged = stream.getvalue()
    for hidden in (
        "operator-key-of",
        "sk-caller",
        "sk-second",
        "Flight",
        "AF 12",
        "late",
    ):
        assert hidden not in logged
    assert "ValueError" in logged
    assert len(logged.splitlines()) == 6


def test_log_calls_and_events_use_no_prompt_or_key_variables() -> None:
    source = Path(gypsumsail.__file__).parent
    found = [
        f"{path.relative_to(source)}:{call.lineno}: {name}"
        for path in sorted(source.rglob("*.py"))
        for call in recording_calls(ast.parse(path.read_text(encoding="utf-8")))
        for name in names_in(call)
        if name in FORBIDDEN_NAMES
    ]

    assert found == []


def recording_calls(tree: ast.AST) -> Iterator[ast.Call]:
    """Yield the logging calls and the calls that create timeline events."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and (makes_event(node) or is_logging(node)):
            yield node


def makes_event(call: ast.Call) -> bool:
    return isinstance(call.func, ast.Name) and call.func.id == "Event"


def is_logging(call: ast.Call) -> bool:
    return (
        isinstance(call.func, ast.Attribute)
        and isinstance(call.func.value, ast.Name)
        and call.func.value.id.lower().endswith(("logger", "logging", "log"))
    )


def names_in(call: ast.Call) -> Iterator[str]:
    for argument in [*call.args, *(keyword.value for keyword in call.keywords)]:
        for node in ast.walk(argument):
            if isinstance(node, ast.Name):
                yield node.id
            elif isinstance(node, ast.Attribute):
                yield node.attr
