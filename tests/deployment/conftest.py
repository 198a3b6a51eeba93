"""Fixtures of the tests of the whole path."""

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
    """Three entries, three engines, two stores and a plain service, serving."""
    return await async_bring_up(
        SMALL, launcher, client, policy=DEFAULT_POLICY, directory=tmp_path
    )


@pytest.fixture
async def callers(deployment: Deployment) -> AsyncIterator[Callers]:
    """Callers of the deployment, who check each answer."""
    callers = Callers(SMALL, deployment)
    yield callers
    await callers.async_close()
