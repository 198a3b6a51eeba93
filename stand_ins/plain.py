"""Stand-in of a plain service, which counts the runs of each request."""

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
    """The service behind its HTTP calls.

    Attributes
    ----------
    runs_by_id, runs_by_body
        Number of runs of each request id, and of each body by its digest.
    """

    def __init__(self, *, seconds: float) -> None:
        self.seconds = seconds
        self.faults = Faults()
        self.runs_by_id: Counter[str] = Counter()
        self.runs_by_body: Counter[str] = Counter()
        self.previous_id = ""

    def counters(self) -> dict[str, Any]:
        """Return the counters of the control port."""
        return {
            "runs": self.runs_by_id.total(),
            "runs_by_id": dict(self.runs_by_id),
            "runs_by_body": dict(self.runs_by_body),
        }

    def app(self) -> App:
        """Return the application with all calls."""
        app = App(self.faults, self.counters)
        app.add("*", "/{path*}", self.run)
        return app

    async def run(self, request: Request) -> Response:
        """Run one call and count it."""
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
        """Exit when the body holds the marker of the fault."""
        marker = self.faults.value("crash_on", "marker", None)
        if marker is not None and marker.encode() in body:
            crash_process()


@click.command()
@click.option("--port", default=0)
@click.option("--seconds", default=0.005, help="Time that a call takes.")
def main(port: int, seconds: float) -> None:
    """Serve the stand-in of a plain service."""
    serve(PlainService(seconds=seconds).app(), port)


if __name__ == "__main__":
    main()
