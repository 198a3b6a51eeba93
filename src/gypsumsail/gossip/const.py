"""Constants of the gossip protocol."""

from __future__ import annotations

from typing import Final

FORMAT_VERSION: Final = 2
"""Version of the message format; messages of other versions are rejected."""
FIRST_KINDS: Final = 3
"""Number of kinds of objects that builds before evacuations follow."""
MAX_REVISION_DIGITS: Final = 20
"""Maximum number of digits of a revision, whose 64 bits need 20."""
SEND_INTERVAL_SECONDS: Final = 0.1
"""Pause between messages to a VM; bounds how old the loads are that others see."""
MAX_FULL_RATE_VMS: Final = 12
"""Maximum number of VMs at which all VMs send to each other at the full rate."""
SAME_ZONE_MESSAGES_PER_SECOND: Final = 80
"""Rate at which a VM of a large deployment receives messages from its own zone.

Each message takes about 0.06 ms to process.
"""
CROSS_ZONE_MIN_INTERVAL_SECONDS: Final = 0.8
"""Minimum pause between messages to a VM of another zone that reads no zone reports."""
CROSS_ZONE_MAX_INTERVAL_SECONDS: Final = 1.2
"""Maximum pause between messages to a VM of another zone that reads no zone reports.

It must stay below ``PEER_LOAD_MAX_AGE_SECONDS``, after which loads are ignored.
"""
CROSS_ZONE_MESSAGES_PER_SECOND: Final = 60
"""Rate at which such a VM receives messages from other zones.

The rate is higher once the pause has reached its maximum.
"""
CROSS_ZONE_HEARTBEAT_SECONDS: Final = 8.0
"""Pause between messages to a VM of another zone that reads zone reports."""
CROSS_ZONE_ALIVE_TIMEOUT_SECONDS: Final = 20.0
"""Time without a message after which a VM of another zone no longer counts as alive.

It applies to large deployments and allows for two lost heartbeats.
"""
REPORTERS_PER_ZONE: Final = 2
"""Number of VMs that report for a zone; one may fail or be cut off."""
REPORT_RECIPIENTS_PER_ZONE: Final = 3
"""Number of VMs to which a zone report is sent in each other zone.

It is larger than ``REPORTERS_PER_ZONE``, because the sender may not know yet which VMs
of that zone have failed.
"""
ZONE_REPORT_INTERVAL_SECONDS: Final = 0.25
"""Pause between the reports of a zone to the reporting VMs of other zones."""
OTHER_ZONES_REPORT_INTERVAL_SECONDS: Final = 0.5
"""Pause between the reports of a reporting VM to the VMs of its own zone."""
RELAY_REPEAT_SECONDS: Final = 0.3
"""Time in which a reporting VM passes the same update on only once."""
MAX_RELAYED_UPDATES: Final = 24
"""Maximum number of updates in one report."""
UNCHANGED_INTERVAL_SECONDS: Final = 0.6
"""Pause between messages with unchanged content."""
SILENT_PEER_INTERVAL_SECONDS: Final = 1.0
"""Pause between messages to a VM that is not known to be alive."""
ALIVE_TIMEOUT_SECONDS: Final = 3.0
"""Time without a message after which a VM no longer counts as alive."""
HEARD_LATELY_SECONDS: Final = 1.5
"""Time without a message after which a VM may be cut off from another of its zone."""
ALIVE_CACHE_SECONDS: Final = 0.1
"""Time for which the set of live VMs is cached; a silent VM counts that much longer."""
NOTICE_INTERVAL_SECONDS: Final = 0.5
"""Pause between the messages that repeat the notices of targets."""
NOTICE_RECIPIENTS: Final = 2
"""Number of random VMs to which each of these messages is sent."""
NOTICE_REPEAT_SECONDS: Final = 30.0
"""Time for which the end of a limit is repeated."""
NOTICE_WAIT_SECONDS: Final = 0.5
"""Longest time after its start for which a VM waits for the notices of others."""
MAX_NOTICES_PER_MESSAGE: Final = 24
"""Maximum number of targets in one of these messages."""
RING_CACHE_SECONDS: Final = 0.5
"""Time for which the members of the ring of all VMs are cached."""
PEER_RETENTION_SECONDS: Final = 120.0
"""Time without a message after which a VM is removed from the table."""
MAX_DATAGRAM_BYTES: Final = 1_400
"""Maximum size of a datagram in bytes that links carry without fragmentation."""
MAX_UPDATES_PER_MESSAGE: Final = 8
"""Maximum number of updates of one type in one message.

It limits crash reports, loading targets, weight versions, removals and cached prompts.
"""
PART_REPEAT_MIN_SECONDS: Final = 2.0
"""Minimum pause after which a VM repeats the crashes of suspected parts."""
PART_REPEAT_SECONDS_PER_VM: Final = 0.3
"""The same pause for each VM of the fleet; the longer of both applies."""
MAX_REPEATED_CRASHES: Final = 12
"""Maximum number of crashes of parts that are repeated in one message."""
MAX_UNREACHABLE_PER_MESSAGE: Final = 40
"""Maximum number of unreachable targets in one message."""
MAX_HOSTS_PER_MESSAGE: Final = 6
"""Maximum number of hosts of other VMs in one message."""
CATCH_UP_DELAY_SECONDS: Final = 0.3
"""Time for which a peer must be ahead until a VM that reads the store asks it."""
MAX_CONTEXT_STORE_CHANGES_PER_MESSAGE: Final = 24
"""Number of changes from which no further context store update is added to a message.

Each update counts as one change more than it contains.
"""
