"""Tells a few VMs which build began each stream, and asks them.

Only while targets of several builds serve. A stream is told before its first event is
forwarded, so that the build is still known when its VM ends at once. In a small fleet
all VMs are told. In a large one these are two VMs of the zone and one of the whole
fleet, which a hash of the stream selects, so that the load of a VM does not grow with
the fleet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.rendezvous import rank
from gypsumsail.gateway.stream_builds import StreamBegin, StreamBuilds
from gypsumsail.gateway.stream_resumption import async_confirm, async_sole_build
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.gossip.stream_messages import (
    BuildAnswer,
    BuildQuestion,
    StreamMessage,
    StreamsTold,
)

ANSWER_TIMEOUT_SECONDS: Final = 0.3
"""Time in which another VM has to answer; the call is refused otherwise."""
REPEAT_SECONDS: Final = 0.1
"""Time after which a question is sent once more to the VMs that have not answered."""
OWNERS_PER_ZONE: Final = 2
"""VMs of the own zone that are told of a stream in a large fleet."""
MAX_BEGINS_PER_MESSAGE: Final = 16


@dataclass(slots=True)
class _Question:
    """A question that waits for its answers.

    Attributes
    ----------
    asked
        Hosts that have not answered yet.
    """

    message: BuildQuestion
    asked: set[str]
    answer: asyncio.Future[str | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class StreamExchange:
    """Messages of this VM on the builds of streams.

    Attributes
    ----------
    send
        Sends a message to hosts.
    confirm_targets
        Returns whether the list of targets is known to be complete as of now.
    answering
        Answers that wait for it.
    told_services
        Services of which this VM has told its streams since several builds serve.
    """

    def __init__(
        self,
        peers: PeerTable,
        builds: StreamBuilds,
        clock: Clock,
        send: Callable[[StreamMessage, list[str]], None],
    ) -> None:
        self.peers = peers
        self.builds = builds
        self.clock = clock
        self.send = send
        self.confirm_targets: Callable[[], Awaitable[bool]] = async_confirm
        self.answering: set[asyncio.Task[None]] = set()
        self.told_services: set[str] = set()
        self.questions: dict[int, _Question] = {}
        self.last_number = 0

    @callback
    def tell(self, begin: StreamBegin, now: float) -> None:
        """Tell of a stream that this VM has begun, if several builds serve."""
        if self.builds.is_mixed(begin.service, now):
            self._send_begins([begin], self._owners(begin.stream, now))

    @callback
    def tick(self, now: float) -> None:
        """Tell of the earlier streams of services that a second build has joined."""
        for service in self.builds.services:
            if not self.builds.is_mixed(service, now):
                self.told_services.discard(service)
            elif service not in self.told_services:
                self.told_services.add(service)
                self._tell_all(service, now)

    def _tell_all(self, service: str, now: float) -> None:
        by_host: dict[str, list[StreamBegin]] = {}
        for begin in self.builds.own_begins(service, now):
            for host in self._owners(begin.stream, now):
                by_host.setdefault(host, []).append(begin)
        for host, begins in by_host.items():
            for first in range(0, len(begins), MAX_BEGINS_PER_MESSAGE):
                self._send_begins(
                    begins[first : first + MAX_BEGINS_PER_MESSAGE], [host]
                )

    def _send_begins(self, begins: list[StreamBegin], hosts: list[str]) -> None:
        if hosts:
            message = StreamsTold(host=self.peers.host, begins=tuple(begins))
            self.send(message, hosts)

    def _owners(self, stream: str, now: float) -> list[str]:
        """Return the other VMs that are told of a stream and asked for it."""
        readers = {
            peer.host: peer for peer in self.peers.alive(now) if peer.reads_streams
        }
        if not self.peers.is_large(now):
            return list(readers)
        same_zone = [
            host for host, peer in readers.items() if peer.zone == self.peers.zone
        ]
        zone_owners = rank(stream, [self.peers.host, *same_zone])[:OWNERS_PER_ZONE]
        fleet_owner = self.peers.ring(now).owner(stream)
        return sorted(readers.keys() & {*zone_owners, fleet_owner})

    async def async_ask(self, stream: str, service: str) -> str | None:
        """Return the build that began a stream; ``None`` if no VM knows it in time."""
        now = self.clock.monotonic()
        hosts = self._owners(stream, now)
        if not hosts:
            return None
        self.last_number += 1
        question = _Question(
            BuildQuestion(
                host=self.peers.host,
                number=self.last_number,
                stream=stream,
                service=service,
            ),
            set(hosts),
        )
        self.questions[question.message.number] = question
        repeat = asyncio.get_running_loop().call_later(
            REPEAT_SECONDS, self._ask, question
        )
        try:
            self._ask(question)
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await question.answer
        except TimeoutError:
            return None
        finally:
            repeat.cancel()
            del self.questions[question.message.number]

    def _ask(self, question: _Question) -> None:
        if not question.answer.done():
            self.send(question.message, sorted(question.asked))

    @callback
    def handle(self, message: StreamMessage) -> None:
        """Apply a message of another VM."""
        now = self.clock.monotonic()
        match message:
            case StreamsTold(begins=begins):
                for begin in begins:
                    self.builds.record(begin, now, is_own=False)
            case BuildQuestion():
                self._start_answer(message, now)
            case BuildAnswer():
                self._apply_answer(message)

    def _start_answer(self, question: BuildQuestion, now: float) -> None:
        build = self.builds.find(question.stream, now)
        if build is not None:
            self._send_answer(question, build)
            return
        task = asyncio.create_task(self._async_answer(question))
        self.answering.add(task)
        task.add_done_callback(self.answering.discard)

    async def _async_answer(self, question: BuildQuestion) -> None:
        build = await async_sole_build(
            self.builds, question.service, self.clock, self.confirm_targets
        )
        self._send_answer(question, build)

    def _send_answer(self, question: BuildQuestion, build: str | None) -> None:
        answer = BuildAnswer(host=self.peers.host, number=question.number, build=build)
        self.send(answer, [question.host])

    def _apply_answer(self, answer: BuildAnswer) -> None:
        question = self.questions.get(answer.number)
        if question is None or question.answer.done():
            return
        question.asked.discard(answer.host)
        if answer.build is not None:
            question.answer.set_result(answer.build)
        elif not question.asked:
            question.answer.set_result(None)
