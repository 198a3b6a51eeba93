"""Fixtures of the end-to-end tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import httpx
import pytest

from bench.callers import Callers
from bench.deployment import Deployment, async_bring_up
from bench.processes import Launcher
from gypsumsail.routing.const import DEFAULT_POLICY
from tests.deployment.common import SMALL


@pytest.fixture
async def deployment(
    launcher: Launcher, client: httpx.AsyncClient, tmp_path: Path
) -> Deployment:
    """Start 3 entries, 3 engines, 2 stores and a plain service, ready to serve."""
    return await async_bring_up(
        SMALL, launcher, client, policy=DEFAULT_POLICY, directory=tmp_path
    )


@pytest.fixture
async def callers(deployment: Deployment) -> AsyncIterator[Callers]:
    """Clients of the deployment that check each answer."""
    callers = Callers(SMALL, deployment)
    yield callers
    await callers.async_close()
