"""Tests of where starting instances get their records from."""

import asyncio

SEEDS = ("127.0.0.1",)


async def test_started_instance_gets_records_from_a_neighbour_at_once(site):
    """It neither calls the store nor waits for the next heartbeat."""
    await site.add_backend("s1")
    first = await site.add_instance(1, seeds=SEEDS, cores=0.86)
    second = await site.add_instance(2, seeds=SEEDS, cores=0.86)
    await site.ready()
    loop = asyncio.get_running_loop()
    # Both are in the crew, the instances that carry traffic; the instances
    # that start later are followers.
    await asyncio.sleep(0.5)
    for number in (3, 4):
        started_s = loop.time()
        instance = await site.add_instance(number, seeds=SEEDS, cores=0.86)
        await site.until(lambda item=instance: item.is_ready)
        assert loop.time() - started_s < 0.5
        assert instance._store.calls == 0
    assert first._store.calls > 0
    assert second._store.calls == 0


async def test_instance_without_its_seeds_finds_others_in_the_store(site):
    await site.add_backend("s1")
    first = await site.add_instance(1)
    await site.ready()
    await site.until(lambda: site.store.newest("keyed.magnoliacrank"))
    lost = await site.add_instance(2, seeds=("127.0.0.99",))
    await site.until(
        lambda: not lost._roster.is_alone(lost._clock()), timeout_s=6.0
    )
    await site.until(lambda: not first._roster.is_alone(first._clock()))


async def test_instance_refused_by_the_store_serves(
    site,
):
    """It reads the records from another instance instead."""
    await site.add_backend("s1")
    await site.add_instance(1, seeds=SEEDS, cores=0.86)
    await site.ready()

    async def refuse(*_arguments, **_fields):
        raise AssertionError("the store was called")

    instance = await site.add_instance(2, seeds=SEEDS, cores=0.86)
    instance._store.newest = refuse
    instance._store.read = refuse
    await site.until(lambda: instance.is_ready)
    status, _, _ = await site.request(number=2)
    assert status == 200
