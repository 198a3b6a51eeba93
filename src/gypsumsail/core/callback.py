"""Decorator that marks functions which run in the event loop and never block."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

_CallableT = TypeVar("_CallableT", bound=Callable[..., Any])


def callback(func: _CallableT) -> _CallableT:
    """Mark a function as safe to call directly from the event loop.

    The mark is for readers; no code checks it.
    """
    func._gypsumsail_callback = True  # type: ignore[attr-defined]
    return func
