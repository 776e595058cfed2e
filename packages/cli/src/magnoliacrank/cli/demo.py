"""The `demo` command: the whole path in one process on loopback."""

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

EXIT_KEPT = 0
"""Exit code when every promise held."""

EXIT_BROKEN = 1
"""Exit code when a promise broke."""

_SEED = 7
_STEADY_S = 2.0
_OUT_S = 3.0
_MOVE_DEADLINE_S = 18.0
_DEPARTURE_BOUND_S = 3.0
_FORCE_BOUND_S = 5.0
_RETURN_BOUND_S = 10.0
_POLL_S = 0.05
_OUT = "vannes"
_MS_PER_S = 1000.0


def add_arguments(parser: argument_parser.ArgumentParser) -> None:
    """Adds the flags of `demo`."""
    parser.add_argument(
        "--verbose", action="store_true", help="prints the log as well"
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the demo and returns the exit code."""
    logging.use_absl_handler()
    quiet = logging.INFO if arguments.verbose else logging.FATAL
    logging.set_verbosity(quiet)
    return event_loop.run(_demo())


async def _demo() -> int:
    world = demo_world.DemoWorld()
    report = demo_report.DemoReport()
    await world.start()
    try:
        traffic = await _run_script(world, report)
    except (demo_world.DemoError, TimeoutError) as error:
        sys.stderr.write(f"the demo stopped: {error!r}\n")
        return EXIT_BROKEN
    finally:
        await world.close()
    report.check_traffic(traffic.results, world.journal)
    report.print(traffic.results)
    return EXIT_KEPT if report.is_kept else EXIT_BROKEN


async def _run_script(
    world: demo_world.DemoWorld, report: demo_report.DemoReport
) -> demo_traffic.DemoTraffic:
    _check_force(report, "the first lists", await world.publish())
    await world.until_ready()
    traffic = demo_traffic.DemoTraffic(world.urls, random.Random(_SEED))
    await traffic.start()
    try:
        await asyncio.sleep(_STEADY_S)
        await _take_out_and_back(world, report)
        await _move(world, report, "1.1", move.Phase.DONE)
        await _move(world, report, "1.2", move.Phase.TAKEN_BACK)
        await asyncio.sleep(_STEADY_S)
    finally:
        await traffic.close()
    return traffic


async def _take_out_and_back(
    world: demo_world.DemoWorld, report: demo_report.DemoReport
) -> None:
    edited_s = time.monotonic()
    world.states[_OUT] = "out"
    _check_force(report, f"{_OUT} out", await world.publish())
    await asyncio.sleep(_OUT_S)
    late_s = [
        run.started_s - edited_s
        for run in world.journal.executions
        if run.server_id.startswith(_OUT) and run.started_s > edited_s
    ]
    last_s = max(late_s, default=0.0)
    report.check(
        "a data centre that is out gets no new work",
        f"last work {last_s * _MS_PER_S:.0f} ms after the edit",
        is_kept=last_s <= _DEPARTURE_BOUND_S,
    )
    back_s = time.monotonic()
    world.states[_OUT] = "in"
    _check_force(report, f"{_OUT} in", await world.publish())
    took_s = await _until_back(world, back_s)
    report.check(
        "a data centre that is back gets work",
        f"{took_s:.1f} s after the edit",
        is_kept=took_s <= _RETURN_BOUND_S,
    )


async def _until_back(world: demo_world.DemoWorld, back_s: float) -> float:
    """Returns the seconds until work comes back, at most the bound and more."""
    while True:
        took_s = time.monotonic() - back_s
        for run in world.journal.executions:
            if run.server_id.startswith(_OUT) and run.started_s > back_s:
                return run.started_s - back_s
        if took_s > _RETURN_BOUND_S:
            return took_s
        await asyncio.sleep(_POLL_S)


async def _move(
    world: demo_world.DemoWorld,
    report: demo_report.DemoReport,
    version: str,
    wanted: move.Phase,
) -> None:
    begun_s = time.monotonic()
    is_faulty = wanted is move.Phase.TAKEN_BACK
    await world.start_servers(version, is_faulty=is_faulty)
    world.version = version
    _check_force(
        report, f"version {version}", await world.publish(_MOVE_DEADLINE_S)
    )
    ended = await _until_moved(world, version)
    took_s = time.monotonic() - begun_s
    requests = sum(
        f"-{version}-" in run.server_id for run in world.journal.executions
    )
    report.check(
        f"version {version} is {wanted.value}",
        f"{ended.phase.value if ended else 'still running'} after "
        f"{took_s:.1f} s with {requests} requests",
        is_kept=ended is not None and ended.phase is wanted,
    )
    for notice in world.session.follower.state.notices:
        if notice.move is not None and notice.move.new_version == version:
            report.facts.append(f"notice {notice.notice_id}: {notice.text}")


async def _until_moved(
    world: demo_world.DemoWorld, version: str
) -> move.Move | None:
    end_s = time.monotonic() + _MOVE_DEADLINE_S + _FORCE_BOUND_S
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


def _check_force(
    report: demo_report.DemoReport, what: str, took_s: float
) -> None:
    report.check(
        f"in force everywhere: {what}",
        f"after {took_s * _MS_PER_S:.0f} ms",
        is_kept=took_s <= _FORCE_BOUND_S,
    )
