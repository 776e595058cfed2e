"""EXPOSURE: after an outage of the store a trial version replaces the old."""

from __future__ import annotations

import asyncio

import world as worlds

from magnoliacrank.standins import platform_store

DURATION_S = 16.0
OUTAGE_S = 4.5
LATE_S = 7.0
"""Seconds after its start from which the new version fails half its work."""

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
CONTACT_S = 3.0


async def case(world: worlds.World) -> bool:
    zones = ["a", "b", "c"]
    await world.start(zones)
    world.put_config(stops={"service": "rounds"})
    for index in range(3):
        server = worlds.Upstream(
            world, f"i-old{index}", "rounds", zones[index], "v1", slots=6
        )
        await world.add_upstream(server, phase_s=0.1 * index)
    await world.start_instances()
    await world.wait_until_ready()
    traffic = asyncio.create_task(world.traffic("stops", 60.0, 30.0))
    await asyncio.sleep(2.0)
    fails = [True, False]
    started_s = world.record.now_s()

    def is_failing() -> bool:
        fails.reverse()
        return fails[0] and world.record.now_s() > started_s + LATE_S

    new = []
    for index in range(3):
        server = worlds.Upstream(
            world, f"i-new{index}", "rounds", zones[index], "v2", slots=6
        )
        server.is_failing = is_failing
        new.append(server)
        await world.add_upstream(server, phase_s=0.1 * index)
    order_s = world.record.now_s()
    world.put_op(
        "rollout/rounds",
        {"service": "rounds", "target-version": "v2", "duration": "16s"},
    )
    drainer = asyncio.create_task(_drain_when_rolled_back(world, new))
    await asyncio.sleep(1.0)
    if world.trouble:
        await _take_the_store_down(world)
    stable_s = world.record.now_s() + CONTACT_S
    await asyncio.sleep(order_s + DURATION_S - world.record.now_s())
    end_s = world.record.now_s()
    await traffic
    drainer.cancel()
    arrived = {
        server.id: [at for at, _, _ in server.arrivals if order_s <= at < end_s]
        for server in world.upstreams.values()
    }
    total = sum(len(times) for times in arrived.values())
    exposed = sum(
        at_s >= (stable_s if world.trouble else order_s)
        for server in new
        for at_s in arrived[server.id]
    )
    allowed = EXPOSURE_SHARE * total + EXPOSURE_SLACK
    sent = [
        request_id
        for request_id, (at_s, _) in world.sent.items()
        if stable_s <= at_s < end_s
    ]
    refused = sum(world.answers[request_id][1] == 503 for request_id in sent)
    failed = sum(world.answers[request_id][1] == 500 for request_id in sent)
    state = world.store.newest("keyed.status").get("rollout/rounds", b"")
    worlds.say(
        world,
        f"{exposed} requests reached the bad version from machines in touch "
        f"before the deadline, {total} the service; allowed {allowed:.0f}. "
        f"Of {len(sent)} sent in touch {refused} got 503 and {failed} 500; "
        f"recorded: {state.decode()}",
    )
    return exposed > allowed


async def _take_the_store_down(world: worlds.World) -> None:
    """The store answers 503, and all registrations run out meanwhile.

    When it is back the servers' entries are back within two seconds, those of
    the new version first, as their next heartbeats fall.
    """
    world.store.fault = platform_store.Fault.BUSY
    world.record.write("store down", answers=503)
    await asyncio.sleep(OUTAGE_S)
    for server in world.upstreams.values():
        world.expire(server)
    heartbeats = {
        server.id: 0.05 if server.version == "v2" else 1.4
        for server in world.upstreams.values()
    }
    for server in world.upstreams.values():
        world.set_phase(server, heartbeats[server.id])
    world.store.fault = platform_store.Fault.NONE
    world.record.write("store back")


async def _drain_when_rolled_back(
    world: worlds.World, new: list[worlds.Upstream]
) -> None:
    """The operator's side: at `rolled_back` the new servers drain later."""
    while True:
        await asyncio.sleep(0.1)
        state = world.store.newest("keyed.status").get("rollout/rounds", b"")
        if b"rolled_back" in state:
            break
    world.record.write("rolled back")
    await asyncio.sleep(4.0)
    for server in new:
        world.set_state(server, "draining")
    await asyncio.sleep(3.0)
    for server in new:
        await world.remove_upstream(server)


worlds.main(case)
