"""Membership messages between entries."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.membership.models import Member
from gypsumsail.membership.vms import VmIncarnation
from gypsumsail.object_api.port import VmRecord
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import EntryId, Message


@message("membership.probe")
@dataclass(frozen=True, slots=True, kw_only=True)
class Probe(Message):
    """Ask an entry whether it is alive.

    Attributes
    ----------
    sender
        The sender's own record.
    suspicion
        The sender's record of the receiver, unless its status is alive.
    """

    sender: Member
    suspicion: Member | None = None


@message("membership.probed")
@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeReply(Message):
    """Reply to a probe, with the same two records from the receiver's side."""

    sender: Member
    suspicion: Member | None = None


@message("membership.probe_for")
@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbe(Message):
    """Ask an entry to probe another entry on behalf of the sender."""

    target: EntryId


@message("membership.probed_for")
@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbeReply(Message):
    """Result of an indirect probe; no target when the probe failed."""

    target: Member | None


@message("membership.compare")
@dataclass(frozen=True, slots=True, kw_only=True)
class Compare(Message):
    """Compare tables by their digests, and report which targets are leaving."""

    members: bytes
    vms: bytes
    leaving: tuple[VmIncarnation, ...] = ()


@message("membership.compared")
@dataclass(frozen=True, slots=True, kw_only=True)
class CompareReply(Message):
    """Reply with the bucket digests of each table, empty when the tables are equal.

    Attributes
    ----------
    vms_age
        Seconds since the sender requested its reading of the VM list.
    vms_reading_count
        Number of the sender's reading of the VM list.
    """

    members: bytes
    vms: bytes
    vms_age: float | None
    leaving: tuple[VmIncarnation, ...] = ()
    vms_reading_count: int = 0


@message("membership.fetch")
@dataclass(frozen=True, slots=True, kw_only=True)
class Fetch(Message):
    """Send own members and request the records of the buckets that differ."""

    member_buckets: tuple[int, ...]
    vm_buckets: tuple[int, ...]
    members: tuple[Member, ...]


@message("membership.fetched")
@dataclass(frozen=True, slots=True, kw_only=True)
class FetchReply(Message):
    """Reply with the records of the requested buckets."""

    members: tuple[Member, ...]
    vms: tuple[VmRecord, ...]
    vms_age: float | None
    vms_reading_count: int = 0


@message("membership.fresh")
@dataclass(frozen=True, slots=True, kw_only=True)
class ListRead(Message):
    """Announce a new reading of the VM list; the receiver may compare tables."""

    reading_count: int
