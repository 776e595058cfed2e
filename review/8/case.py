"""A request crashes each server that runs it, and its caller comes again."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import world as stand_ins  # noqa: E402

CONTACT_S = 3.0
MAX_RETRIES = 3
LENGTH_S = 107.0
PAUSE_S = 2.0
DOWN_S = 2.0
TARGET = "/slot-booking/77"


async def case(world):
    arrivals = []
    crashes = []
    crashing = []

    async def run(server, headers, target):
        if target == TARGET:
            arrivals.append(world.record.now_s())
            if world.has_trouble:
                crashes.append(world.record.now_s())
                world.record.add(f"crash: {server.server_id}")
                crashing.append(asyncio.ensure_future(server.crash(DOWN_S)))
                await asyncio.sleep(3600)
        await asyncio.sleep(0.05)
        return b"booked"

    for number in range(6):
        zone = stand_ins.ZONES[number % 3]
        server = stand_ins.Server(
            world.store, world.record, "rota-desk", zone, run
        )
        await server.start()
    routes = [
        stand_ins.route(
            "slot-booking", "unsafe", "rota-desk", "1200ms", "800ms", 3
        )
    ]
    plan = stand_ins.configuration(["rota-desk"], routes)
    world.store.put("keyed.op", "config", stand_ins._json(plan))
    await world.start_machines()

    started_s = world.record.now_s()
    number = 0
    good = 0
    while world.record.now_s() < started_s + LENGTH_S:
        number += 1
        machine = world.machines[number % len(world.machines)]
        await stand_ins.ask(world.record, machine, "POST", TARGET, 2000)
        _, reply = await stand_ins.ask(
            world.record, machine, "POST", f"/slot-booking/{number + 1000}",
            2000,
        )
        good += reply is not None and reply.status == 200
        await asyncio.sleep(PAUSE_S)
    if good < number // 2:
        raise stand_ins.CannotRunError(f"only {good} of {number} others served")
    late = []
    if len(crashes) >= 3:
        limit_s = crashes[2] + CONTACT_S
        late = [at_s for at_s in arrivals if at_s > limit_s]
    text = (
        f"{number} attempts, {len(arrivals)} reached a server, {len(crashes)}"
        f" crashes; {len(late)} reached one later than {CONTACT_S:g} s after"
        f" the third crash, {MAX_RETRIES} are allowed; others served:"
        f" {good} of {number}"
    )
    return len(late) > MAX_RETRIES, text


stand_ins.play(HERE, 3, case)
