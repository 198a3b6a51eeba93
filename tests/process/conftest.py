"""Deployments for the tests of the whole program."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from bench.deployment import Deployment
from tests.process.common import small_deployment


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[Deployment]:
    """Deployment of a module; each test leaves it whole."""
    async with small_deployment(tmp_path_factory.mktemp("shared")) as deployment:
        yield deployment
