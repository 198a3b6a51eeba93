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
    """Reply to a probe.

    Attributes
    ----------
    sender
        The replying entry's own record.
    suspicion
        The replying entry's record of the probing entry, unless its status is alive.
    """

    sender: Member
    suspicion: Member | None = None


@message("membership.probe_for")
@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbe(Message):
    """Ask an entry to probe another entry on behalf of the sender.

    Attributes
    ----------
    target
        Entry that the receiver probes, not a target of calls.
    """

    target: EntryId


@message("membership.probed_for")
@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbeReply(Message):
    """Result of an indirect probe.

    Attributes
    ----------
    target
        Record of the probed entry; ``None`` when the probe failed.
    """

    target: Member | None


@message("membership.compare")
@dataclass(frozen=True, slots=True, kw_only=True)
class Compare(Message):
    """Compare tables by their digests, and report which targets are leaving.

    Attributes
    ----------
    members, vms
        Root digest of each of the sender's tables.
    """

    members: bytes
    vms: bytes
    leaving: tuple[VmIncarnation, ...] = ()


@message("membership.compared")
@dataclass(frozen=True, slots=True, kw_only=True)
class CompareReply(Message):
    """Reply with the bucket digests of each table.

    Attributes
    ----------
    members, vms
        Concatenated bucket digests; empty when the root digests are equal.
    vms_age
        Seconds since the sender requested its reading of the VM list.
    vms_reading_number
        Number of the sender's reading of the VM list; see `VmView`.
    """

    members: bytes
    vms: bytes
    vms_age: float | None
    leaving: tuple[VmIncarnation, ...] = ()
    vms_reading_number: int = 0


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
    """Reply with the records of the requested buckets and the age of the VM list."""

    members: tuple[Member, ...]
    vms: tuple[VmRecord, ...]
    vms_age: float | None
    vms_reading_number: int = 0


@message("membership.fresh")
@dataclass(frozen=True, slots=True, kw_only=True)
class ListRead(Message):
    """Announce a new reading of the VM list; the receiver may compare tables."""

    reading_number: int
