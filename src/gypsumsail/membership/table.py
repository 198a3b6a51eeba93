"""Believed status of the entries: suspicion, refutation and death."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from gypsumsail.membership.const import (
    FREEZE_GAP_SECONDS,
    MEMBER_BUCKETS,
    RETENTION_SECONDS,
    SUSPICION_SECONDS,
)
from gypsumsail.membership.digest import BucketDigest, bucket_of, digest_table
from gypsumsail.membership.models import EntryJoined, EntryLost, Member, MemberStatus
from gypsumsail.peers.handshake import Identity
from gypsumsail.peers.port import EntryId

_RANK: Final = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
}

Changes = tuple[EntryJoined | EntryLost, ...]


class MembershipTable:
    """Members of the deployment, as one entry believes them to be.

    Attributes
    ----------
    me
        This entry's own record.
    members
        All known incarnations except this entry, including dead ones until they are
        removed.
    status_since
        Monotonic seconds at which each member got its status in this table.
    revision
        Increases with each change.
    """

    def __init__(self, me: Identity, *, now: float) -> None:
        self.me = Member(
            entry=me.entry, peer_url=me.peer_url, status=MemberStatus.ALIVE, counter=0
        )
        self.members: dict[EntryId, Member] = {}
        self.status_since: dict[EntryId, float] = {}
        self.last_sweep_at = now
        self.revision = 0
        self._digest: BucketDigest | None = None

    def set_address(self, peer_url: str) -> None:
        """Set the address of this entry once it accepts links."""
        self.me = replace(self.me, peer_url=peer_url)

    def present(self) -> tuple[Member, ...]:
        """Return the members that are not believed dead, without this entry."""
        return tuple(member for member in self.members.values() if member.is_present)

    def alive(self) -> tuple[Member, ...]:
        """Return the members that are not suspected, including this entry."""
        others = self.members.values()
        return (
            self.me,
            *(member for member in others if member.status is MemberStatus.ALIVE),
        )

    def get(self, entry: EntryId) -> Member | None:
        """Return the record of an entry."""
        return self.me if entry == self.me.entry else self.members.get(entry)

    def merge(self, record: Member, *, now: float) -> Changes:
        """Merge the record of another entry.

        The record with the higher counter wins; with equal counters, the worse status.

        A death that another entry reports is only a suspicion here: after a network
        partition, each side believes the other one dead. Each entry therefore
        declares deaths itself.
        """
        if record.entry == self.me.entry:
            self._refute(record)
            return ()
        known = self.members.get(record.entry)
        if known is None:
            return self._set(record, now) if record.is_present else ()
        if not record.is_present:
            record = replace(record, status=MemberStatus.SUSPECT)
        return self._set(record, now) if _order(record) > _order(known) else ()

    def merge_all(self, records: Iterable[Member], *, now: float) -> Changes:
        """Merge several records."""
        return tuple(
            change for record in records for change in self.merge(record, now=now)
        )

    def add_verified(self, identity: Identity, *, now: float) -> Changes:
        """Add an entry whose identity was verified at its address.

        Other incarnations at the same address are dead.
        """
        changes: Changes = ()
        for member in tuple(self.members.values()):
            at_address = member.peer_url == identity.peer_url
            if at_address and member.entry != identity.entry and member.is_present:
                changes += self._set(replace(member, status=MemberStatus.DEAD), now)
        record = Member(
            entry=identity.entry,
            peer_url=identity.peer_url,
            status=MemberStatus.ALIVE,
            counter=0,
        )
        return changes + self.merge(record, now=now)

    def suspect(self, entry: EntryId, *, now: float) -> Changes:
        """Suspect an entry that no direct or indirect probe could reach."""
        member = self.members.get(entry)
        if member is None or member.status is not MemberStatus.ALIVE:
            return ()
        return self._set(replace(member, status=MemberStatus.SUSPECT), now)

    def sweep(self, *, now: float) -> Changes:
        """Declare unrefuted suspects dead, and remove members that died long ago.

        After a pause of this process, suspicions start anew, because refutations may
        still be unread.
        """
        frozen = now - self.last_sweep_at > FREEZE_GAP_SECONDS
        self.last_sweep_at = now
        if frozen:
            self._restart_suspicions(now)
            return ()
        changes: Changes = ()
        for member in tuple(self.members.values()):
            changes += self._sweep_one(
                member, now - self.status_since[member.entry], now
            )
        return changes

    def digest(self) -> BucketDigest:
        """Return the digest of the members that are not dead."""
        if self._digest is None:
            rows = (_row(member) for member in (self.me, *self.present()))
            self._digest = digest_table(rows, MEMBER_BUCKETS)
        return self._digest

    def in_buckets(self, bucket_indexes: tuple[int, ...]) -> tuple[Member, ...]:
        """Return all records of some buckets, including dead members."""
        wanted = set(bucket_indexes)
        return tuple(
            member
            for member in (self.me, *self.members.values())
            if bucket_of(_key(member.entry), MEMBER_BUCKETS) in wanted
        )

    def _refute(self, record: Member) -> None:
        is_suspected = record.status is not MemberStatus.ALIVE
        if is_suspected and record.counter >= self.me.counter:
            self.me = replace(self.me, counter=record.counter + 1)
            self._digest = None

    def _set(self, record: Member, now: float) -> Changes:
        known = self.members.get(record.entry)
        self.members[record.entry] = record
        self.revision += 1
        self._digest = None
        if known is None or known.status is not record.status:
            self.status_since[record.entry] = now
        was_present = known is not None and known.is_present
        if record.is_present and not was_present:
            return (EntryJoined(entry=record.entry),)
        if was_present and not record.is_present:
            return (EntryLost(entry=record.entry),)
        return ()

    def _sweep_one(self, member: Member, age: float, now: float) -> Changes:
        if member.status is MemberStatus.SUSPECT and age >= SUSPICION_SECONDS:
            return self._set(replace(member, status=MemberStatus.DEAD), now)
        if member.status is MemberStatus.DEAD and age >= RETENTION_SECONDS:
            del self.members[member.entry]
            del self.status_since[member.entry]
            self.revision += 1
        return ()

    def _restart_suspicions(self, now: float) -> None:
        for member in self.members.values():
            if member.status is MemberStatus.SUSPECT:
                self.status_since[member.entry] = now


def _order(member: Member) -> tuple[int, int]:
    return member.counter, _RANK[member.status]


def _key(entry: EntryId) -> str:
    return f"{entry.name}\0{entry.incarnation}"


def _row(member: Member) -> tuple[str, str]:
    return _key(member.entry), f"{member.status.value}\0{member.counter}"
