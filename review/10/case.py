"""Settings change to files with empty keys; machines are started in turn."""

import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import world as stand_ins  # noqa: E402

GRACE_S = 6.0
RESTART_S = 0.5
START_S = 10.0


async def case(world):
    for number in range(6):
        zone = stand_ins.ZONES[number % 3]
        await stand_ins.Server(
            world.store, world.record, "flagboard", zone
        ).start()
    plan = stand_ins.configuration(
        ["flagboard"],
        [
            stand_ins.route(
                "flag-status", "safe", "flagboard", "1500ms", "600ms", 2
            )
        ],
    )
    world.store.put("keyed.op", "config", stand_ins._json(plan))
    await world.start_machines()
    record = world.record

    async def served():
        count = 0
        for machine in world.machines:
            try:
                _, reply = await stand_ins.ask(
                    record, machine, "GET", "/flag-status/1", 1500
                )
            except OSError as error:
                record.add(f"no connection to {machine.node}: {error}")
                continue
            count += reply is not None and reply.status == 200
        return count

    if await served() < len(world.machines):
        raise stand_ins.CannotRunError("not all machines serve")
    for machine in world.machines:
        if world.has_trouble:
            machine.change_settings(cloud={})
        record.add(f"settings of {machine.node} change, SIGHUP")
        machine.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(2.0)
    if await served() < len(world.machines):
        raise stand_ins.CannotRunError("not all machines serve")

    # The platform stops and starts them in turn, and starts a process that
    # has ended again after a short delay.
    failed = []
    for machine in world.machines:
        record.add(f"SIGTERM to {machine.node}")
        machine.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await machine.process.wait()
        except TimeoutError:
            await machine.stop()
        ends = []
        limit_s = record.now_s() + START_S
        while record.now_s() < limit_s:
            if machine.process.returncode is not None:
                await asyncio.sleep(RESTART_S)
                record.add(f"start of {machine.node}")
                await machine.start()
            await asyncio.sleep(0.25)
            if machine.process.returncode is not None:
                ends.append(machine.process.returncode)
                record.add(f"{machine.node} ended: {ends[-1]}")
            elif await machine.is_ready():
                record.add(f"{machine.node} is ready")
                break
        else:
            failed.append(machine.node)
            record.add(f"{machine.node} didn't start: {len(ends)} ends")
    text = (
        f"{len(failed)} of {len(world.machines)} machines didn't start within"
        f" {START_S:g} s; then {await served()} machines serve"
    )
    return bool(failed), text


stand_ins.play(HERE, 3, case)
