"""Stand-in of a plain service that counts the executions of each request."""

from __future__ import annotations

import asyncio
from collections import Counter
import hashlib
from typing import Any

import click

from stand_ins.asgi import AbortResponseError, App, Request, Response, json_response
from stand_ins.faults import Faults, crash_process
from stand_ins.serving import serve


class PlainService:
    """State of the service and the handler of its HTTP calls.

    Attributes
    ----------
    seconds
        Duration of a call.
    runs_by_id, runs_by_body
        Number of executions by request id, and by SHA-256 digest of the body.
    previous_id
        Id of the previous request, which the fault ``cross_answers`` returns.
    """

    def __init__(self, *, seconds: float) -> None:
        self.seconds = seconds
        self.faults = Faults()
        self.runs_by_id: Counter[str] = Counter()
        self.runs_by_body: Counter[str] = Counter()
        self.previous_id = ""

    def counters(self) -> dict[str, Any]:
        """Return the counters that ``GET /control`` lists."""
        return {
            "runs": self.runs_by_id.total(),
            "runs_by_id": dict(self.runs_by_id),
            "runs_by_body": dict(self.runs_by_body),
        }

    def app(self) -> App:
        """Return the ASGI application with all routes."""
        app = App(self.faults, self.counters)
        app.add("*", "/{path*}", self.run)
        return app

    async def run(self, request: Request) -> Response:
        """Count and execute one call."""
        request_id = request.headers.get("x-request-id", "")
        digest = hashlib.sha256(request.body).hexdigest()
        self.runs_by_id[request_id] += 1
        self.runs_by_body[digest] += 1
        self.crash_if_marked(request.body)
        await asyncio.sleep(self.seconds)
        if self.faults.on("reset_mid_answer"):
            raise AbortResponseError
        answer = json_response({"path": request.path, "body_sha256": digest})
        answer.headers["x-request-id"] = request_id
        if self.faults.on("cross_answers"):
            answer.headers["x-request-id"] = self.previous_id or "another"
        self.previous_id = request_id
        return answer

    def crash_if_marked(self, body: bytes) -> None:
        """Exit the process if the body contains the marker of ``crash_on``."""
        marker = self.faults.value("crash_on", "marker", None)
        if marker is not None and marker.encode() in body:
            crash_process()


@click.command()
@click.option("--port", default=0)
@click.option("--seconds", default=0.005, help="Duration of a call in seconds.")
def main(port: int, seconds: float) -> None:
    """Run the stand-in of a plain service."""
    serve(PlainService(seconds=seconds).app(), port)


if __name__ == "__main__":
    main()
