"""Runs the tests of this package on the event loop that instances use."""

from __future__ import annotations

from magnoliacrank.gateway import event_loop


def pytest_asyncio_loop_factories(config, item):
    return {"uvloop": event_loop.new_event_loop}
