"""Faults that the control endpoint activates and deactivates."""

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
        """Activate a fault, or deactivate it with ``"on": false``."""
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
        """Return a parameter of a fault, or the default if the fault is inactive."""
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
