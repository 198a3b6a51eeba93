"""At-most-once execution of requests, by reservations in a ledger.

The ledger is split into partitions by idempotency key. A partition is one head object
with its newest records, and sealed segments with older ones.

An entry is a gateway process that accepts requests, not a record of the ledger. One
entry owns each partition and commits the records of all entries in batches. Any entry
may also commit directly, because every write is conditional on the version of the head.

An attempt is one try to run a request; only an attempt whose reservation was granted
may send it. Ledger time is the age of a partition, as measured by its writers.
"""

from __future__ import annotations
