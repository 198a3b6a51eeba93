"""Fixtures of the end-to-end tests."""

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
    """Provide the deployment of a test module.

    All tests of the module use it, so each test undoes its faults and restarts the
    processes that it killed.
    """
    async with small_deployment(tmp_path_factory.mktemp("shared")) as deployment:
        yield deployment
