"""The `demo` command: runs a whole system in one process on loopback.

It sends traffic while it takes a data centre out and back in, rolls out one
good and one faulty version, and checks what the system promises.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from typing import TYPE_CHECKING

from absl import logging

from magnoliacrank.cli import demo_report
from magnoliacrank.cli import demo_traffic
from magnoliacrank.cli import demo_world
from magnoliacrank.gateway import event_loop
from magnoliacrank.model import ids
from magnoliacrank.model import move

if TYPE_CHECKING:
    import argparse

    from magnoliacrank.cli import argument_parser

EXIT_PASSED = 0
"""Exit code when every promise of the system was kept."""

EXIT_FAILED = 1
"""Exit code when a promise was broken or the demo stopped early."""

_SEED = 7
_STEADY_TRAFFIC_S = 2.0
_EVACUATION_S = 3.0
_MOVE_DEADLINE_S = 18.0
_LAST_WORK_BOUND_S = 3.0
_PROPAGATION_BOUND_S = 5.0
_FIRST_WORK_BOUND_S = 10.0
_POLL_S = 0.05
_EVACUATED_DATA_CENTRE = "vannes"
_MS_PER_S = 1000.0


def add_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of `demo`."""
    parser.add_argument(
        "--verbose", action="store_true", help="prints the log as well"
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the demo and prints its report; returns the exit code."""
    logging.use_absl_handler()
    log_level = logging.INFO if arguments.verbose else logging.FATAL
    logging.set_verbosity(log_level)
    return event_loop.run(_demo())


async def _demo() -> int:
    world = demo_world.DemoWorld()
    report = demo_report.DemoReport()
    await world.start()
    try:
        traffic = await _run_script(world, report)
    except (demo_world.DemoError, TimeoutError) as error:
        sys.stderr.write(f"the demo stopped: {error!r}\n")
        return EXIT_FAILED
    finally:
        await world.close()
    report.check_traffic(traffic.results, world.journal)
    report.print(traffic.results)
    return EXIT_PASSED if report.is_kept else EXIT_FAILED


async def _run_script(
    world: demo_world.DemoWorld, report: demo_report.DemoReport
) -> demo_traffic.DemoTraffic:
    _check_propagation(report, "the first lists", await world.publish())
    await world.wait_until_ready()
    traffic = demo_traffic.DemoTraffic(world.urls, random.Random(_SEED))
    await traffic.start()
    try:
        await asyncio.sleep(_STEADY_TRAFFIC_S)
        await _evacuate_and_restore(world, report)
        await _run_move(world, report, "1.1", move.Phase.DONE)
        await _run_move(world, report, "1.2", move.Phase.TAKEN_BACK)
        await asyncio.sleep(_STEADY_TRAFFIC_S)
    finally:
        await traffic.close()
    return traffic


async def _evacuate_and_restore(
    world: demo_world.DemoWorld, report: demo_report.DemoReport
) -> None:
    edited_s = time.monotonic()
    world.states[_EVACUATED_DATA_CENTRE] = "out"
    _check_propagation(
        report, f"{_EVACUATED_DATA_CENTRE} out", await world.publish()
    )
    await asyncio.sleep(_EVACUATION_S)
    work_after_edit_s = [
        run.started_s - edited_s
        for run in world.journal.executions
        if run.server_id.startswith(_EVACUATED_DATA_CENTRE)
        and run.started_s > edited_s
    ]
    last_s = max(work_after_edit_s, default=0.0)
    report.check(
        "a data centre that is out gets no new work",
        f"last work {last_s * _MS_PER_S:.0f} ms after the edit",
        is_kept=last_s <= _LAST_WORK_BOUND_S,
    )
    restored_s = time.monotonic()
    world.states[_EVACUATED_DATA_CENTRE] = "in"
    _check_propagation(
        report, f"{_EVACUATED_DATA_CENTRE} in", await world.publish()
    )
    took_s = await _wait_for_work(world, restored_s)
    report.check(
        "a data centre that is back gets work",
        f"{took_s:.1f} s after the edit",
        is_kept=took_s <= _FIRST_WORK_BOUND_S,
    )


async def _wait_for_work(
    world: demo_world.DemoWorld, restored_s: float
) -> float:
    """Returns the seconds from `restored_s` until the data centre gets work.

    Gives up after `_FIRST_WORK_BOUND_S` and returns the time waited.
    """
    while True:
        took_s = time.monotonic() - restored_s
        for run in world.journal.executions:
            if (
                run.server_id.startswith(_EVACUATED_DATA_CENTRE)
                and run.started_s > restored_s
            ):
                return run.started_s - restored_s
        if took_s > _FIRST_WORK_BOUND_S:
            return took_s
        await asyncio.sleep(_POLL_S)


async def _run_move(
    world: demo_world.DemoWorld,
    report: demo_report.DemoReport,
    version: str,
    expected_phase: move.Phase,
) -> None:
    begun_s = time.monotonic()
    is_faulty = expected_phase is move.Phase.TAKEN_BACK
    await world.start_servers(version, is_faulty=is_faulty)
    world.version = version
    _check_propagation(
        report, f"version {version}", await world.publish(_MOVE_DEADLINE_S)
    )
    ended = await _wait_for_move(world, version)
    took_s = time.monotonic() - begun_s
    requests = sum(
        f"-{version}-" in run.server_id for run in world.journal.executions
    )
    report.check(
        f"version {version} is {expected_phase.value}",
        f"{ended.phase.value if ended else 'still running'} after "
        f"{took_s:.1f} s with {requests} requests",
        is_kept=ended is not None and ended.phase is expected_phase,
    )
    for notice in world.session.follower.state.notices:
        if notice.move is not None and notice.move.new_version == version:
            report.facts.append(f"notice {notice.notice_id}: {notice.text}")


async def _wait_for_move(
    world: demo_world.DemoWorld, version: str
) -> move.Move | None:
    end_s = time.monotonic() + _MOVE_DEADLINE_S + _PROPAGATION_BOUND_S
    service = ids.ServiceName(demo_world.SERVICE)
    while time.monotonic() < end_s:
        found = world.session.follower.state.moves.get(service)
        if (
            found is not None
            and found.new_version == version
            and found.phase.is_final
        ):
            return found
        await asyncio.sleep(_POLL_S)
    return None


def _check_propagation(
    report: demo_report.DemoReport, what: str, took_s: float
) -> None:
    report.check(
        f"in force everywhere: {what}",
        f"after {took_s * _MS_PER_S:.0f} ms",
        is_kept=took_s <= _PROPAGATION_BOUND_S,
    )
