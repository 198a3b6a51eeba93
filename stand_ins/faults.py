"""Faults that the control port switches on and off."""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any, Final

CRASH_EXIT_CODE: Final = 9


def crash_process() -> None:
    """End the process at once, as a crash would."""
    os._exit(CRASH_EXIT_CODE)


class Faults:
    """Faults in force.

    Attributes
    ----------
    active
        Parameters of each fault in force, by the name of the fault.
    """

    def __init__(self) -> None:
        self.active: dict[str, dict[str, Any]] = {}
        self.generators: dict[str, random.Random] = {}

    def change(self, payload: dict[str, Any]) -> None:
        """Switch a fault on, or off with ``"on": false``."""
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
        """Return whether a fault is in force."""
        return name in self.active

    def value(self, name: str, parameter: str, default: Any) -> Any:
        """Return a parameter of a fault, or the default when it is off."""
        return self.active.get(name, {}).get(parameter, default)

    def should_inject(self, name: str) -> bool:
        """Draw whether a fault with a share happens this time."""
        if not self.on(name):
            return False
        share = float(self.value(name, "share", 1.0))
        return self.generators[name].random() < share

    def drops_response(self) -> bool:
        """Draw whether the answer to this call is lost."""
        return self.should_inject("lose_answers")

    async def delay_call(self) -> None:
        """Delay a call while the stand-in is slow."""
        seconds = self.value("slow", "seconds", 0.0)
        if seconds:
            await asyncio.sleep(seconds)
