"""A field for each test: a relay and all that it talks to."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio

from tests.sockets import Field


@pytest_asyncio.fixture
async def field(tmp_path: Path) -> AsyncIterator[Field]:
    made = Field(tmp_path)
    await made.prepare()
    yield made
    await made.stop()
