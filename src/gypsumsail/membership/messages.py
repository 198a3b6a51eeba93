"""Messages of membership between entries."""

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
    believed
        What the sender believes of the receiver, unless it is simply alive.
    """

    sender: Member
    suspicion: Member | None = None


@message("membership.probed")
@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeReply(Message):
    """Answer to a probe, with the same two records the other way round."""

    sender: Member
    suspicion: Member | None = None


@message("membership.probe_for")
@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbe(Message):
    """Ask an entry to probe another one."""

    target: EntryId


@message("membership.probed_for")
@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbeReply(Message):
    """What came of an indirect probe."""

    target: Member | None


@message("membership.compare")
@dataclass(frozen=True, slots=True, kw_only=True)
class Compare(Message):
    """Compare tables by their digests, and tell which lives are leaving."""

    members: bytes
    vms: bytes
    leaving: tuple[VmIncarnation, ...] = ()


@message("membership.compared")
@dataclass(frozen=True, slots=True, kw_only=True)
class CompareReply(Message):
    """Digests of the buckets, each empty when the tables are alike.

    Attributes
    ----------
    vms_age
        Seconds since the sender's reading of the VM list was asked for.
    """

    members: bytes
    vms: bytes
    vms_age: float | None
    leaving: tuple[VmIncarnation, ...] = ()
    vms_reading_count: int = 0


@message("membership.fetch")
@dataclass(frozen=True, slots=True, kw_only=True)
class Fetch(Message):
    """Exchange the records of the buckets that differ."""

    member_buckets: tuple[int, ...]
    vm_buckets: tuple[int, ...]
    members: tuple[Member, ...]


@message("membership.fetched")
@dataclass(frozen=True, slots=True, kw_only=True)
class FetchReply(Message):
    """The records of the buckets asked for."""

    members: tuple[Member, ...]
    vms: tuple[VmRecord, ...]
    vms_age: float | None
    vms_reading_count: int = 0


@message("membership.fresh")
@dataclass(frozen=True, slots=True, kw_only=True)
class ListRead(Message):
    """Tell that the sender has just read the VM list; the receiver may compare."""

    reading_count: int
