"""Decisions on the lease of a zone's issuer, without I/O."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.orders.const import (
    LEASE_DURATION_SECONDS,
    LEASE_MARGIN_SECONDS,
    LEASE_RENEW_SECONDS,
)
from gypsumsail.orders.models import LeaseRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTiming:
    """Timing of a lease, in seconds.

    Attributes
    ----------
    seconds
        Time without a change of the lease after which others may acquire it.
    order_margin
        Time before the end of ``seconds`` at which the holder stops sending
        orders.
    renew_after
        Time since the last confirmed write after which the holder renews the lease.
    """

    seconds: float = LEASE_DURATION_SECONDS
    order_margin: float = LEASE_MARGIN_SECONDS
    renew_after: float = LEASE_RENEW_SECONDS


DEFAULT_TIMING = LeaseTiming()


@dataclass(frozen=True, slots=True, kw_only=True)
class EraFences:
    """Fencing numbers of the store's present era.

    Attributes
    ----------
    floor
        Number that all fencing numbers of the era exceed.
    lost_grants_until
        Monotonic time until which a grant of an earlier era may be in use.
    """

    floor: int
    lost_grants_until: float


NO_ERA = EraFences(floor=0, lost_grants_until=float("-inf"))


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseView:
    """The lease as one entry last read it.

    Attributes
    ----------
    version
        Version of the lease object; 0 if it does not exist.
    since
        Monotonic time at which this entry first read this version; the lease counts as
        expired if it has not changed for the duration in the record.
    """

    version: int
    record: LeaseRecord | None
    since: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldLease:
    """A lease as of the last confirmed write of this entry; it may have expired.

    Attributes
    ----------
    order_until
        Monotonic time from which no order may be sent: the time just before the
        last confirmed write, plus the lease time, minus the margin.
    """

    version: int
    fence: int
    renewed_at: float
    order_until: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteLease:
    """Decision to write the lease if its object has the version ``if_version``."""

    if_version: int
    record: LeaseRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitForLease:
    """Decision not to write the lease."""


LeaseStep = WriteLease | WaitForLease


def update_view(
    previous: LeaseView | None, version: int, record: LeaseRecord | None, now: float
) -> LeaseView:
    """Return the view after a read that was answered at the time ``now``."""
    if (
        previous is not None
        and previous.version == version
        and previous.record == record
    ):
        return previous
    return LeaseView(version=version, record=record, since=now)


def decide_acquisition(
    view: LeaseView,
    holder: str,
    highest_fence: int,
    now: float,
    timing: LeaseTiming = DEFAULT_TIMING,
    era_fences: EraFences = NO_ERA,
) -> LeaseStep:
    """Decide whether an entry that does not hold the lease acquires it.

    A record with this entry as holder comes from a write whose response was lost.
    No other entry has written since, so this entry may write again without
    waiting; it holds the lease once that write is confirmed. If an engine reports a
    higher fencing number than the record's, it waits until the lease expires.

    Parameters
    ----------
    highest_fence
        Highest fencing number that any engine of the zone reports. The new
        number is higher, even if the lease object was deleted.
    era_fences
        A record without a fencing number of the store's present era is older than a
        grant that the store may have lost with its last restore. The lease is not
        acquired until such a grant has expired.
    """
    record = view.record
    is_from_earlier_era = record is None or record.fence <= era_fences.floor
    if is_from_earlier_era and now < era_fences.lost_grants_until:
        return WaitForLease()
    highest_fence = max(highest_fence, era_fences.floor)
    if record is not None and record.holder == holder and record.fence >= highest_fence:
        return _write(view.version, holder, record.fence, timing)
    if record is None:
        return _write(view.version, holder, highest_fence + 1, timing)
    if record.holder and now - view.since < record.seconds:
        return WaitForLease()
    fence = max(highest_fence, record.fence) + 1
    return _write(view.version, holder, fence, timing)


def _write(if_version: int, holder: str, fence: int, timing: LeaseTiming) -> WriteLease:
    record = LeaseRecord(holder=holder, fence=fence, seconds=timing.seconds)
    return WriteLease(if_version=if_version, record=record)


def decide_renewal(
    held: HeldLease,
    holder: str,
    highest_fence: int,
    now: float,
    timing: LeaseTiming = DEFAULT_TIMING,
) -> LeaseStep:
    """Decide whether the holder renews its lease.

    It renews the lease ``timing.renew_after`` seconds after the last confirmed write,
    or immediately with a higher fencing number if an engine reports a higher one
    than that of the lease.
    """
    outdated = highest_fence > held.fence
    if not outdated and now - held.renewed_at < timing.renew_after:
        return WaitForLease()
    fence = highest_fence + 1 if outdated else held.fence
    return _write(held.version, holder, fence, timing)


def held_after_write(
    step: WriteLease,
    version: int,
    sent_at: float,
    timing: LeaseTiming = DEFAULT_TIMING,
) -> HeldLease:
    """Return the held lease after a confirmed write that was sent at ``sent_at``."""
    return HeldLease(
        version=version,
        fence=step.record.fence,
        renewed_at=sent_at,
        order_until=sent_at + step.record.seconds - timing.order_margin,
    )


def may_order(held: HeldLease | None, now: float) -> bool:
    """Return whether orders may be sent; check this right before each one."""
    return held is not None and now < held.order_until
