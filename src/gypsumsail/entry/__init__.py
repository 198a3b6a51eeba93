"""The entry: accepts the requests of callers and relays them to targets.

`RequestValidator` turns a request into a `Job`. A `Work` holds the job, its progress
and the operations that send it to a target. A `Call` holds the work and the response
to the caller. An `AttemptLoop` runs the attempts of the work.
"""

from __future__ import annotations
