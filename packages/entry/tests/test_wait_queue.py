"""Tests of the queue of requests that wait for a server."""

import asyncio

from magnoliacrank.entry import placement_request
from magnoliacrank.entry import wait_queue
from magnoliacrank.standins import virtual_time


def _acquire_turn(queue, priority, asked_s, timeout_s, objective_s=10.0):
    """Asks for a turn at time 0."""
    request = placement_request.PlacementRequest(
        service="svc",
        customer="",
        priority=priority,
        asked_s=asked_s,
        wait_deadline_s=timeout_s,
        may_wait=True,
        transfer_bytes=0,
        excluded=frozenset(),
        wants_new_version=False,
        work_s=0.1,
        objective_s=objective_s,
    )
    return queue.acquire_turn(request, 0.0)


def test_turns_are_granted_by_priority_and_age():
    async def play():
        queue = wait_queue.WaitQueue()
        for _ in range(wait_queue.MAX_SEARCHING):
            assert await _acquire_turn(queue, 0, 0.0, 1.0)
        order = []

        async def wait(name, priority, arrived_s):
            assert await _acquire_turn(queue, priority, arrived_s, 5.0)
            order.append(name)

        waits = [
            asyncio.ensure_future(wait("urgent, late", 0, 1.05)),
            asyncio.ensure_future(wait("other, early", 2, 0.5)),
            asyncio.ensure_future(wait("other, late", 2, 1.0)),
        ]
        await asyncio.sleep(0)
        for _ in waits:
            queue.release_turn()
            await asyncio.sleep(0.01)
        await asyncio.gather(*waits)
        return order

    order = virtual_time.run(play())
    assert order == ["other, early", "urgent, late", "other, late"]


def test_request_that_can_be_in_time_goes_before_a_late_one():
    async def play():
        queue = wait_queue.WaitQueue()
        for _ in range(wait_queue.MAX_SEARCHING):
            assert await _acquire_turn(queue, 0, 0.0, 1.0)
        order = []

        async def wait(name, asked_s, objective_s):
            assert await _acquire_turn(queue, 0, asked_s, 5.0, objective_s)
            order.append(name)

        waits = [
            asyncio.ensure_future(wait("late", -0.7, 0.05)),
            asyncio.ensure_future(wait("in time", 0.0, 0.6)),
        ]
        await asyncio.sleep(0)
        for _ in waits:
            queue.release_turn()
            await asyncio.sleep(0.01)
        await asyncio.gather(*waits)
        return order

    assert virtual_time.run(play()) == ["in time", "late"]


def test_timed_out_request_is_skipped():
    async def play():
        queue = wait_queue.WaitQueue()
        for _ in range(wait_queue.MAX_SEARCHING):
            await _acquire_turn(queue, 0, 0.0, 1.0)
        assert not await _acquire_turn(queue, 0, 0.0, 0.1)
        later = asyncio.ensure_future(_acquire_turn(queue, 0, 0.5, 1.0))
        await asyncio.sleep(0)
        queue.release_turn()
        assert await later
        for _ in range(wait_queue.MAX_SEARCHING):
            queue.release_turn()
        assert queue.length == 0

    virtual_time.run(play())


def test_cancelled_request_passes_its_turn_on():
    async def play():
        queue = wait_queue.WaitQueue()
        for _ in range(wait_queue.MAX_SEARCHING):
            await _acquire_turn(queue, 0, 0.0, 1.0)
        first = asyncio.ensure_future(_acquire_turn(queue, 0, 0.1, 1.0))
        second = asyncio.ensure_future(_acquire_turn(queue, 0, 0.2, 1.0))
        await asyncio.sleep(0)
        queue.release_turn()
        first.cancel()
        assert await second
        await asyncio.gather(first, return_exceptions=True)

    virtual_time.run(play())
