"""Fixtures shared by the tests."""

from __future__ import annotations

from collections.abc import AsyncIterator

import httpx
import pytest

from bench.processes import Launcher
from tests.fuzzing import load_profile

load_profile()


@pytest.fixture
async def launcher() -> AsyncIterator[Launcher]:
    """Launcher whose processes end with the test."""
    async with Launcher() as launcher:
        yield launcher


@pytest.fixture
async def client() -> AsyncIterator[httpx.AsyncClient]:
    """Client that talks to loopback only."""
    async with httpx.AsyncClient(trust_env=False, timeout=30.0) as client:
        yield client
