"""CPU time per token read from an engine: httpx compared with ``EngineStreams``."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
import json
import time
from typing import Final
from uuid import uuid4

import click
import httpx

from bench.processes import Launcher
from gypsumsail.targets.events import EventParser
from gypsumsail.targets.port import AnswerEnd, AnswerToken, EngineRequest
from gypsumsail.targets.stream import EngineStreams, encode_request

CONCURRENT_STREAMS: Final = 24
ENGINE_ARGUMENTS: Final = (
    "--model",
    "claims:v1",
    "--step-seconds",
    "0.002",
    "--prefill-seconds-per-token",
    "0",
)

Batches = AsyncIterator[tuple[AnswerToken | AnswerEnd, ...]]
Reader = Callable[[EngineRequest], Batches]


@dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """CPU time of one client.

    Attributes
    ----------
    name
        ``httpx``, or ``direct`` for ``EngineStreams``.
    batches
        Number of times that the client yielded tokens.
    """

    name: str
    tokens: int
    batches: int
    microseconds_per_token: float


def make_request(number: int) -> EngineRequest:
    """Return a request with a short prompt."""
    return EngineRequest(
        attempt_id=uuid4().hex,
        model="claims",
        adapter="",
        weight_version="v1",
        prompt=f"flight {number}",
        max_tokens=1000,
        cache_salt="salt",
        priority=5,
        deadline=600.0,
    )


class HttpxStreams:
    """Client that reads an engine's stream through httpx."""

    def __init__(self, base_url: str) -> None:
        self.url = f"{base_url}/v1/completions"
        self.client = httpx.AsyncClient(trust_env=False)

    async def stream(self, request: EngineRequest) -> Batches:
        """Yield the validated events of an answer in batches."""
        parser = EventParser(request.attempt_id)
        body = encode_request(request)
        async with self.client.stream("POST", self.url, content=body) as response:
            async for chunk in response.aiter_bytes():
                if tokens := parser.feed(chunk):
                    yield tuple(tokens)
        yield (parser.finish(),)


async def read_answers(reader: Reader, first: int, answers: int) -> tuple[int, int]:
    """Read answers one after the other; return the number of tokens and batches."""
    tokens = batches = 0
    for number in range(first, first + answers):
        async for batch in reader(make_request(number)):
            tokens += len(batch)
            batches += 1
        # The last event is the end of the answer, not a token.
        tokens -= 1
    return tokens, batches


async def measure(name: str, reader: Reader, answers: int) -> Measurement:
    """Read answers on all streams concurrently and measure the CPU time."""
    await read_answers(reader, 0, 2)
    started = time.process_time()
    counts = await asyncio.gather(
        *(
            read_answers(reader, index * answers, answers)
            for index in range(CONCURRENT_STREAMS)
        )
    )
    seconds = time.process_time() - started
    tokens = sum(count[0] for count in counts)
    return Measurement(
        name=name,
        tokens=tokens,
        batches=sum(count[1] for count in counts),
        microseconds_per_token=seconds / tokens * 1e6,
    )


async def run(answers: int, rounds: int) -> list[Measurement]:
    """Measure both clients alternately against one engine stand-in."""
    measurements: list[Measurement] = []
    async with Launcher() as launcher:
        engine = await launcher.start_module(
            "engine", "stand_ins.engine", ENGINE_ARGUMENTS
        )
        through_httpx, engine_streams = (
            HttpxStreams(engine.url),
            EngineStreams(engine.url),
        )
        for _ in range(rounds):
            measurements.append(await measure("httpx", through_httpx.stream, answers))
            measurements.append(await measure("direct", engine_streams.stream, answers))
        await through_httpx.client.aclose()
        await engine_streams.async_close()
    return measurements


def loop_runner(
    name: str,
) -> Callable[[Awaitable[list[Measurement]]], list[Measurement]]:
    """Return the function that runs a coroutine on the named event loop."""
    if name == "uvloop":
        import uvloop

        return uvloop.run  # type: ignore[return-value]
    return asyncio.run  # type: ignore[return-value]


@click.command()
@click.option("--answers", default=20, help="Number of answers on each of 24 streams.")
@click.option("--rounds", default=3)
@click.option("--loop", type=click.Choice(["asyncio", "uvloop"]), default="uvloop")
def main(answers: int, rounds: int, loop: str) -> None:
    """Print the CPU time per token of both clients."""
    for measurement in loop_runner(loop)(run(answers, rounds)):
        line = {"loop": loop, "name": measurement.name, "tokens": measurement.tokens}
        line |= {"batches": measurement.batches}
        micros = round(measurement.microseconds_per_token, 1)
        print(json.dumps(line | {"us_per_token": micros}))


if __name__ == "__main__":
    main()
