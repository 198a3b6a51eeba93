"""Servers that stand in for targets at the platform's border."""

from __future__ import annotations

import asyncio

from stand_ins.raw_http import RawRequest, encode_response

INSTANCE = "i-portal"


class PlainTarget:
    """A target of a plain service, which runs whatever is a request.

    Without a request id, or under the name of another instance, it runs nothing.

    Attributes
    ----------
    runs
        Requests that it ran.
    received
        Number of all requests that reached it.
    """

    def __init__(self) -> None:
        self.runs: list[RawRequest] = []
        self.received = 0

    async def async_handle(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; keep the connection."""
        self.received += 1
        not_run = {"Gypsumsail-Not-Run": "1"}
        if "gypsumsail-request-id" not in request.headers:
            writer.write(encode_response(400, b"", not_run))
        elif request.headers.get("gypsumsail-target-instance", INSTANCE) != INSTANCE:
            writer.write(encode_response(421, b"", not_run))
        else:
            self.runs.append(request)
            writer.write(encode_response(404, b"no such page"))
        return True
