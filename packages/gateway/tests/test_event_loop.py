"""The event loop opens no io_uring, whatever the environment says."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from magnoliacrank.gateway import event_loop

_COUNT_RINGS_PROGRAM = """
import asyncio, os
from magnoliacrank.gateway import event_loop
async def main():
    links = []
    for name in os.listdir("/proc/self/fd"):
        try:
            links.append(os.readlink("/proc/self/fd/" + name))
        except FileNotFoundError:
            pass
    assert any("eventpoll" in link for link in links), links
    print(sum("io_uring" in link for link in links))
    return 0
RUN(main())
"""


def test_run_returns_the_result():
    async def main():
        return 3

    assert event_loop.run(main()) == 3


def _count_rings(program, preset):
    environment = {
        name: value
        for name, value in os.environ.items()
        if name != "UV_USE_IO_URING"
    }
    if preset is not None:
        environment["UV_USE_IO_URING"] = preset
    done = subprocess.run(
        [sys.executable, "-c", program],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    return int(done.stdout)


@pytest.mark.parametrize("preset", [None, "0", "1"])
def test_event_loop_opens_no_ring(preset):
    program = _COUNT_RINGS_PROGRAM.replace("RUN", "event_loop.run")
    assert _count_rings(program, preset) == 0


def test_ring_count_is_positive_if_io_uring_is_allowed():
    program = "import uvloop\n" + _COUNT_RINGS_PROGRAM.replace(
        "RUN", "uvloop.run"
    )
    assert _count_rings(program, "1") > 0
