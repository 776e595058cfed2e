"""Tests of request bodies: complete reads, size limit and memory limit."""

import pytest


async def test_chunked_body_arrives_whole(site):
    backend = await site.add_backend("s1")
    await site.add_instance()
    await site.ready()

    async def chunks():
        for _ in range(4):
            yield b"x" * 50_000

    status, _, _ = await site.request("/write/7", "POST", data=chunks())
    assert status == 200
    assert backend.received_bodies == [b"x" * 200_000]


@pytest.mark.parametrize(("size", "status"), [(900_000, 200), (1_100_000, 413)])
async def test_chunked_body_is_bounded(site, size, status):
    await site.add_backend("s1")
    await site.add_instance()
    await site.ready()

    async def chunks():
        for _ in range(size // 100_000):
            yield b"x" * 100_000

    found, _, _ = await site.request("/write/1", "POST", data=chunks())
    assert found == status


async def test_bodies_beyond_the_memory_are_refused_at_once(site):
    """Bodies may take a fifth of the process's memory: 150 KB of 0.75 MB."""
    await site.add_backend("s1")
    await site.add_instance(memory_mb=0.75)
    await site.ready()

    async def chunks():
        for _ in range(3):
            yield b"x" * 100_000

    status, _, _ = await site.request("/write/1", "POST", data=chunks())
    assert status == 503
    status, _, _ = await site.request("/write/1", "POST", data=b"x" * 200_000)
    assert status == 503
    status, _, _ = await site.request("/write/1", "POST", data=b"x" * 90_000)
    assert status == 200
