"""Helpers that run commands against an operator API served on loopback."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
import json
import socket
import threading
from typing import Any

from click.testing import CliRunner, Result
import uvicorn

from gypsumsail.cli.main import main
from gypsumsail.entry.operator_api import create_operator_api
from tests.entry.common import OPERATOR_KEY, FakeStatusSource
from tests.timeline.common import FakeClock


@contextmanager
def serve(source: FakeStatusSource) -> Iterator[str]:
    """Serve the operator API of an entry and yield its URL."""
    api = create_operator_api(source, OPERATOR_KEY, FakeClock())
    config = uvicorn.Config(api, log_config=None, lifespan="off")
    server = uvicorn.Server(config)
    listener = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(target=server.run, kwargs={"sockets": [listener]})
    thread.start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
    finally:
        server.should_exit = True
        thread.join()
        listener.close()


def closed_url() -> str:
    """Return a URL whose port no process listens on."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"http://127.0.0.1:{listener.getsockname()[1]}"


def invoke(*arguments: str, key: str = OPERATOR_KEY) -> Result:
    """Run a command with the operator key in its environment variable."""
    variables = {"GYPSUMSAIL_OPERATOR_KEY": key}
    return CliRunner().invoke(main, arguments, env=variables)


def invoke_json(*arguments: str) -> tuple[int, Any]:
    """Run a command and return its exit code and parsed JSON output."""
    result = invoke(*arguments, "--output", "json")
    return result.exit_code, json.loads(result.stdout)
