"""Requests verdicts and suspect slots from the entries that own them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import TypeVar

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError, TransportError
from gypsumsail.core.rendezvous import owner
from gypsumsail.peers.port import EntryId, Message, PeerNetwork
from gypsumsail.suspects.const import EXPIRE_INTERVAL_SECONDS, OWNER_TIMEOUT_SECONDS
from gypsumsail.suspects.models import (
    AttributeCrash,
    BeginAttempt,
    Convicted,
    EndAttempt,
    FreeSlot,
    PlaceAttempt,
    ReportCrash,
    SlotAnswer,
    TakeSlot,
    TargetInstance,
    Verdict,
    VerdictAnswer,
    decode_verdict,
    encode_verdict,
)
from gypsumsail.suspects.table import SlotTable, SuspectTable
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.port import Recorder

_LOGGER = logging.getLogger(__name__)

_AnswerT = TypeVar("_AnswerT", bound=Message)


class SuspectsCoordinator:
    """Verdicts shared by all entries that can reach each other.

    Each fingerprint and each target is owned by one entry, selected by rendezvous
    hashing among the entries believed to be alive. If the owner doesn't respond within
    `OWNER_TIMEOUT_SECONDS`, this entry's own table decides instead, so that a lost
    entry never blocks requests.
    """

    def __init__(
        self, me: EntryId, network: PeerNetwork, recorder: Recorder, clock: Clock
    ) -> None:
        self.me = me
        self.network = network
        self.recorder = recorder
        self.clock = clock
        self.table = SuspectTable()
        self.slots = SlotTable()
        self.unsubscribe: list[Callable[[], None]] = []
        self.expire_task: asyncio.Task[None] | None = None
        self.known_peers: set[str] = set()

    async def async_setup(self) -> None:
        """Start to answer other entries."""
        subscribe = self.network.subscribe
        self.unsubscribe = [
            subscribe(BeginAttempt, self._async_on_begin),
            subscribe(PlaceAttempt, self._async_on_place),
            subscribe(EndAttempt, self._async_on_end),
            subscribe(ReportCrash, self._async_on_crash),
            subscribe(TakeSlot, self._async_on_take_slot),
            subscribe(FreeSlot, self._async_on_free_slot),
            subscribe(AttributeCrash, self._async_on_attribute_crash),
        ]
        self.expire_task = asyncio.create_task(self._async_expire())

    async def async_unload(self) -> None:
        """Stop answering other entries."""
        for unsubscribe in self.unsubscribe:
            unsubscribe()
        self.unsubscribe = []
        if self.expire_task is not None:
            self.expire_task.cancel()

    async def async_begin(self, fingerprint: str, attempt_id: str) -> Verdict:
        """Return the verdict on a new attempt; it is recorded if it may start."""
        message = BeginAttempt(fingerprint=fingerprint, attempt_id=attempt_id)
        answer = await self._async_request_owner(fingerprint, message, VerdictAnswer)
        if answer is not None:
            return decode_verdict(answer)
        return self.table.begin(
            fingerprint, attempt_id, _entry_key(self.me), self.clock.monotonic()
        )

    async def async_place(
        self, fingerprint: str, attempt_id: str, instance: TargetInstance
    ) -> None:
        """Report to the owner where the attempt runs."""
        self.table.place(fingerprint, attempt_id, instance)
        await self._async_notify_owner(
            fingerprint,
            PlaceAttempt(
                fingerprint=fingerprint,
                attempt_id=attempt_id,
                target=instance.target,
                incarnation=instance.incarnation,
            ),
        )

    async def async_end(
        self, fingerprint: str, attempt_id: str, *, whole: bool
    ) -> None:
        """Report to the owner that the attempt ended without a crash."""
        self.table.end(fingerprint, attempt_id, whole=whole)
        message = EndAttempt(
            fingerprint=fingerprint, attempt_id=attempt_id, whole=whole
        )
        await self._async_notify_owner(fingerprint, message)

    async def async_crash(
        self,
        fingerprint: str,
        attempt_id: str,
        instance: TargetInstance,
        *,
        isolated: bool,
    ) -> Verdict:
        """Report a crash and return the resulting verdict."""
        message = ReportCrash(
            fingerprint=fingerprint,
            attempt_id=attempt_id,
            target=instance.target,
            incarnation=instance.incarnation,
            isolated=isolated,
        )
        now = self.clock.monotonic()
        own = self.table.record_crash(
            fingerprint, attempt_id, instance, isolated=isolated, now=now
        )
        answer = await self._async_request_owner(fingerprint, message, VerdictAnswer)
        verdict = own if answer is None else decode_verdict(answer)
        if isinstance(verdict, Convicted):
            await self._async_attribute_crash(fingerprint, instance)
        return verdict

    async def async_take_slot(self, target: str, attempt_id: str) -> bool:
        """Reserve the suspect slot of a target; return whether that succeeded."""
        message = TakeSlot(target=target, attempt_id=attempt_id)
        answer = await self._async_request_owner(target, message, SlotAnswer)
        if answer is not None:
            return answer.granted
        return self.slots.take(target, attempt_id, self.clock.monotonic())

    async def async_free_slot(self, target: str, attempt_id: str) -> None:
        """Release the suspect slot of a target."""
        self.slots.free(target, attempt_id)
        await self._async_notify_owner(
            target, FreeSlot(target=target, attempt_id=attempt_id)
        )

    async def _async_request_owner(
        self, key: str, message: Message, answer_type: type[_AnswerT]
    ) -> _AnswerT | None:
        peer = self._owner(key)
        if peer is None:
            return None
        try:
            answer = await self.network.async_request(
                peer, message, timeout=OWNER_TIMEOUT_SECONDS
            )
        except TransportError as error:
            _LOGGER.debug(
                "No verdict or suspect slot from owner %s: %s", peer.name, error
            )
            return None
        return answer if isinstance(answer, answer_type) else None

    async def _async_notify_owner(self, key: str, message: Message) -> None:
        peer = self._owner(key)
        if peer is None:
            return
        try:
            await self.network.async_send(peer, message)
        except GypsumsailError as error:
            _LOGGER.debug(
                "Could not report attempt or slot to owner %s: %s", peer.name, error
            )

    def _owner(self, key: str) -> EntryId | None:
        """Return the peer that owns a key, or ``None`` if this entry owns it."""
        peers = {peer.name: peer for peer in self.network.peers()}
        name = owner(key, [self.me.name, *peers])
        return peers.get(name)

    async def _async_attribute_crash(
        self, fingerprint: str, instance: TargetInstance
    ) -> None:
        self.table.attribute_crash(fingerprint, instance)
        self.recorder.record(
            Event(
                kind=EventKind.CRASH_VERDICT,
                target=instance.target,
                detail=f"fingerprint {fingerprint[:16]} convicted",
            )
        )
        message = AttributeCrash(
            fingerprint=fingerprint,
            target=instance.target,
            incarnation=instance.incarnation,
        )
        for peer in self.network.peers():
            try:
                await self.network.async_send(peer, message)
            except GypsumsailError as error:
                _LOGGER.debug(
                    "Could not send cause of crash to peer %s: %s", peer.name, error
                )

    async def _async_expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_SECONDS)
            self.expire(self.clock.monotonic())

    @callback
    def expire(self, now: float) -> None:
        """Drop expired records and the attempts of entries that are gone."""
        alive = {_entry_key(peer) for peer in self.network.peers()}
        for lost in self.known_peers - alive:
            self.table.remove_lost_entry(lost, now)
        self.known_peers = alive
        self.table.expire(now)

    async def _async_on_begin(self, peer: EntryId, message: BeginAttempt) -> Message:
        verdict = self.table.begin(
            message.fingerprint,
            message.attempt_id,
            _entry_key(peer),
            self.clock.monotonic(),
        )
        return encode_verdict(verdict)

    async def _async_on_place(self, _peer: EntryId, message: PlaceAttempt) -> None:
        instance = TargetInstance(
            target=message.target, incarnation=message.incarnation
        )
        self.table.place(message.fingerprint, message.attempt_id, instance)

    async def _async_on_end(self, _peer: EntryId, message: EndAttempt) -> None:
        self.table.end(message.fingerprint, message.attempt_id, whole=message.whole)

    async def _async_on_crash(self, _peer: EntryId, message: ReportCrash) -> Message:
        verdict = self.table.record_crash(
            message.fingerprint,
            message.attempt_id,
            TargetInstance(target=message.target, incarnation=message.incarnation),
            isolated=message.isolated,
            now=self.clock.monotonic(),
        )
        return encode_verdict(verdict)

    async def _async_on_take_slot(self, _peer: EntryId, message: TakeSlot) -> Message:
        granted = self.slots.take(
            message.target, message.attempt_id, self.clock.monotonic()
        )
        return SlotAnswer(granted=granted)

    async def _async_on_free_slot(self, _peer: EntryId, message: FreeSlot) -> None:
        self.slots.free(message.target, message.attempt_id)

    async def _async_on_attribute_crash(
        self, _peer: EntryId, message: AttributeCrash
    ) -> None:
        instance = TargetInstance(
            target=message.target, incarnation=message.incarnation
        )
        self.table.attribute_crash(message.fingerprint, instance)


def _entry_key(entry: EntryId) -> str:
    return f"{entry.name}/{entry.incarnation}"
