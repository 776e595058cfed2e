"""Large configurations in quick succession; the newest one is used late."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import world as stand_ins  # noqa: E402

CONFIG_APPLY_S = 2.0
GROWTHS = 4
ROUTES_PER_GROWTH = 350
STORM_S = 1.5
GAP_S = 0.06
STORMS = 3
RECORD_BYTES = 262144


def routes(count, home):
    """Returns a route of the service `home`, and `count` further ones."""
    names = [f"board-{number:04d}" for number in range(count)]
    return [
        stand_ins.route("flag-status", "safe", home, "1500ms", "600ms", 2),
        *(
            stand_ins.route(name, "safe", "flagboard", "1500ms", "600ms", 2)
            for name in names
        ),
    ]


async def case(world):
    async def run(server, headers, target):
        await asyncio.sleep(0.005)
        return server.service.encode()

    services = ("flagboard", "rota-archive")
    for service in services:
        for zone in stand_ins.ZONES * 2:
            await stand_ins.Server(
                world.store, world.record, service, zone, run
            ).start()
    version = 3

    async def send(count, home):
        nonlocal version
        version += 2
        plan = stand_ins.configuration(services, routes(count, home), version)
        value = stand_ins._json(plan)
        if len(value) > RECORD_BYTES - 7:
            raise stand_ins.CannotRunError("the configuration is too large")
        world.store.put("keyed.op", "config", value)
        world.record.add(
            f"acknowledged: version {version}, {len(value)} bytes,"
            f" flag-status goes to {home}"
        )
        return world.record.now_s()

    await send(0, "flagboard")
    await world.start_machines()
    count = 0
    if world.has_trouble:
        for _ in range(GROWTHS):
            count += ROUTES_PER_GROWTH
            await send(count, "flagboard")
            await asyncio.sleep(3.0)

    old = asked = right = 0
    homes = list(services)
    for _ in range(STORMS):
        before, after = homes
        changes = round(STORM_S / GAP_S) if world.has_trouble else 1
        for number in range(changes):
            is_last = number == changes - 1
            # Each version drops one of the further routes or brings it back.
            acknowledged_s = await send(
                max(count - number % 2, 0), after if is_last else before
            )
            await asyncio.sleep(GAP_S)
        until_s = acknowledged_s + 6.0
        while world.record.now_s() < until_s:
            for machine in world.machines:
                sent_s = world.record.now_s()
                _, reply = await stand_ins.ask(
                    world.record, machine, "GET", "/flag-status/9", 1500
                )
                if sent_s <= acknowledged_s + CONFIG_APPLY_S:
                    continue
                asked += 1
                if reply is not None and reply.status == 200:
                    right += reply.body == after.encode()
                    old += reply.body == before.encode()
            await asyncio.sleep(0.1)
        homes.reverse()
        await asyncio.sleep(4.0)
    if not asked or right + old < asked * 0.9:
        raise stand_ins.CannotRunError(f"{right} of {asked} served")
    text = (
        f"{asked} requests sent over {CONFIG_APPLY_S:g} s after a version was"
        f" acknowledged that moves their route: {old} were run by the old"
        f" service, {right} by the new one"
    )
    return old > 0, text


stand_ins.play(HERE, 3, case)
