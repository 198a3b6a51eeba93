"""Faults that the control endpoint activates and deactivates.

All stand-ins have these faults:

``die``
    Exits the process immediately.
``lose_answers``
    Handles calls, but resets their connections instead of sending the responses, with
    the probability ``share`` (1.0) and the random seed ``seed`` (0).
``outage``
    Refuses all calls with status 503.
``slow``
    Delays each call by ``seconds``.

The engine also has:

``clear_cache``
    Clears the prefix cache once.
``crash_on``
    Exits the process when it starts a request whose prompt contains ``marker``.
``cross_answers``
    Puts the id of another request into an event of the stream, with ``share`` and
    ``seed`` as above.
``gap_events``
    Drops cache events, with ``share`` and ``seed`` as above.
``reset_mid_answer``
    Resets the connection of an answer after ``after`` events.

The plain service also has:

``crash_on``
    Exits the process when a request body contains ``marker``.
``cross_answers``
    Returns the id of the previous request.
``reset_mid_answer``
    Resets the connection instead of answering.

The platform also has:

``forget_revisions``
    Discards the history of changes once.
``list_lag``
    Returns the VM list as of ``seconds`` ago.
``silent_watch``
    Returns no changes to watches.
``stale_reads``
    Reads from a snapshot of the objects at the activation.

The store also has:

``full``
    Refuses all writes for lack of space.
``link_factor``
    Multiplies the bandwidth of the links by ``factor``.
"""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any, Final

CRASH_EXIT_CODE: Final = 9


def crash_process() -> None:
    """Exit the process immediately, without cleanup, as a crash does."""
    os._exit(CRASH_EXIT_CODE)


class Faults:
    """Active faults of a stand-in.

    Attributes
    ----------
    active
        Parameters of each active fault by its name.
    generators
        Seeded random generator of each fault by its name.
    """

    def __init__(self) -> None:
        self.active: dict[str, dict[str, Any]] = {}
        self.generators: dict[str, random.Random] = {}

    def change(self, payload: dict[str, Any]) -> None:
        """Activate a fault, or deactivate it with ``"on": false``.

        ``die`` exits the process immediately.
        """
        parameters = dict(payload)
        name = parameters.pop("fault")
        if not parameters.pop("on", True):
            self.active.pop(name, None)
            return
        if name == "die":
            crash_process()
        self.active[name] = parameters
        self.generators[name] = random.Random(parameters.get("seed", 0))

    def on(self, name: str) -> bool:
        """Return whether a fault is active."""
        return name in self.active

    def value(self, name: str, parameter: str, default: Any) -> Any:
        """Return a parameter of a fault, or the default if it is not set."""
        return self.active.get(name, {}).get(parameter, default)

    def should_inject(self, name: str) -> bool:
        """Return at random, with the probability ``share``, whether a fault occurs."""
        if not self.on(name):
            return False
        share = float(self.value(name, "share", 1.0))
        return self.generators[name].random() < share

    def drops_response(self) -> bool:
        """Return at random whether the response to this call is dropped."""
        return self.should_inject("lose_answers")

    async def delay_call(self) -> None:
        """Delay a call while the fault ``slow`` is active."""
        seconds = self.value("slow", "seconds", 0.0)
        if seconds:
            await asyncio.sleep(seconds)
