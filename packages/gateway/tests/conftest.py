"""Runs the tests of this package on the product's event loop."""

from __future__ import annotations

import pytest
import uvloop

from magnoliacrank.gateway import event_loop


@pytest.fixture(scope="session")
def event_loop_policy():
    event_loop.disable_io_uring()
    return uvloop.EventLoopPolicy()
