"""Runs the main coroutine of a server process."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def run_until_exit(main: Coroutine[Any, Any, T]) -> T:
    """Run the main coroutine of a process that exits afterwards."""
    import uvloop

    from gypsumsail.core.signals import ignore_signals_until_exit

    result = uvloop.run(main)
    ignore_signals_until_exit()
    return result
