"""Signal handlers that stay installed until the process has ended.

An event loop removes its own handlers when it closes. From then on, a repeated signal
would end the process with an exit code that looks like a failure.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal
from types import FrameType
from typing import Final

HANDLED_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def handle_signal(number: signal.Signals, on_signal: Callable[[], None]) -> None:
    """Call a function in the running event loop whenever the process gets a signal."""
    loop = asyncio.get_running_loop()

    def call_in_loop(received: int, frame: FrameType | None) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(on_signal)

    signal.signal(number, call_in_loop)


def ignore_signals_until_exit() -> None:
    """Ignore signals from now on; the interpreter removes handlers as it ends."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
