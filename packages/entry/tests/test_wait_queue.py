"""Tests of the queue of requests that wait for a server."""

import asyncio

import pytest

from magnoliacrank.entry import placement_request
from magnoliacrank.entry import wait_queue
from magnoliacrank.policy import wait_order
from magnoliacrank.standins import virtual_time

Ending = wait_queue.Ending


def _new_queue():
    return wait_queue.WaitQueue(asyncio.get_running_loop().time)


def _place(priority, asked_s, timeout_s, objective_s=10.0, customer=""):
    request = placement_request.PlacementRequest(
        service="svc",
        customer=customer,
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
    return wait_order.Place(request, request.is_late(0.0))


async def _fill(queue, priority=0):
    """Acquires all turns."""
    return [
        await queue.acquire_turn(_place(priority, 0.0, 1.0))
        for _ in range(wait_queue.MAX_SEARCHING)
    ]


async def _order_of(queue, places):
    """Returns the names of places in the order in which they get a turn."""
    turns = await _fill(queue)
    order = []

    async def wait(name, place):
        turn = await queue.acquire_turn(place)
        assert isinstance(turn, wait_queue.Turn)
        order.append(name)
        await asyncio.sleep(0.01)
        queue.release_turn(turn)

    waits = [
        asyncio.ensure_future(wait(name, place))
        for name, place in places.items()
    ]
    await asyncio.sleep(0)
    queue.release_turn(turns[0])
    await asyncio.gather(*waits)
    return order


@pytest.mark.parametrize(
    ("places", "expected"),
    [
        pytest.param(
            {
                "urgent, late": (0, 1.05, 5.0),
                "other, early": (2, 0.5, 5.0),
                "other, late": (2, 1.0, 5.0),
            },
            ["urgent, late", "other, early", "other, late"],
            id="priority, then age",
        ),
        pytest.param(
            {
                "can't be in time": (0, -0.7, 5.0, 0.05),
                "in time": (0, 0.0, 5.0, 0.6),
            },
            ["in time", "can't be in time"],
            id="in time before late",
        ),
        pytest.param(
            {
                "flood 1": (0, 0.1, 5.0, 10.0, "a"),
                "flood 2": (0, 0.2, 5.0, 10.0, "a"),
                "flood 3": (0, 0.3, 5.0, 10.0, "a"),
                "small": (0, 0.4, 5.0, 10.0, "b"),
            },
            ["flood 1", "small", "flood 2", "flood 3"],
            id="customers in turn",
        ),
    ],
)
def test_turns_are_granted_in_order(places, expected):
    async def play():
        made = {name: _place(*values) for name, values in places.items()}
        return await _order_of(_new_queue(), made)

    assert virtual_time.run(play()) == expected


def test_urgent_request_takes_the_turn_of_a_less_urgent_one():
    async def play():
        queue = _new_queue()
        turns = await _fill(queue, priority=2)
        urgent = _place(0, 0.5, 1.0)
        assert queue.line(urgent).ahead == 0
        assert isinstance(await queue.acquire_turn(urgent), wait_queue.Turn)
        assert sum(turn.is_revoked for turn in turns) == 1
        assert queue.line(urgent).ahead == 1
        assert queue.length == wait_queue.MAX_SEARCHING

    virtual_time.run(play())


@pytest.mark.parametrize(
    ("waiting", "new", "evicted"),
    [
        pytest.param((2, ""), (0, ""), 2, id="less urgent"),
        pytest.param((0, "flood"), (0, "small"), 2, id="flood of a customer"),
        pytest.param((0, ""), (0, ""), 0, id="equal"),
        pytest.param((0, ""), (2, ""), 0, id="more urgent"),
    ],
)
def test_request_is_told_at_once_that_it_gives_way(waiting, new, evicted):
    def place(asked_s, priority, customer):
        return _place(priority, asked_s, 1.0, customer=customer)

    async def play():
        queue = _new_queue()
        await _fill(queue)
        waits = [
            asyncio.ensure_future(queue.acquire_turn(place(0.0, *waiting)))
            for _ in range(4)
        ]
        await asyncio.sleep(0.1)
        queue.evict_overtaken(
            place(0.1, *new), lambda demand, line, now_s: line.ahead > 5
        )
        await asyncio.sleep(0)
        ended = [wait.result() for wait in waits if wait.done()]
        assert ended == [Ending.EVICTED] * evicted
        rest = [await wait for wait in waits[: 4 - evicted]]
        assert rest == [Ending.TIMED_OUT] * (4 - evicted)

    virtual_time.run(play())


def test_timed_out_request_is_skipped():
    async def play():
        queue = _new_queue()
        turns = await _fill(queue)
        early = await queue.acquire_turn(_place(0, 0.0, 0.1))
        assert early is Ending.TIMED_OUT
        later = asyncio.ensure_future(queue.acquire_turn(_place(0, 0.5, 1.0)))
        await asyncio.sleep(0)
        queue.release_turn(turns.pop())
        turns.append(await later)
        for turn in turns:
            queue.release_turn(turn)
        assert queue.length == 0

    virtual_time.run(play())


@pytest.mark.parametrize("cancels_first", [False, True])
def test_cancelled_request_passes_its_turn_on(cancels_first):
    """A caller leaves in the very step in which its request gets a turn."""

    async def play():
        queue = _new_queue()
        turns = await _fill(queue)
        first = asyncio.ensure_future(queue.acquire_turn(_place(0, 0.1, 1.0)))
        second = asyncio.ensure_future(queue.acquire_turn(_place(0, 0.2, 1.0)))
        await asyncio.sleep(0)
        if cancels_first:
            first.cancel()
        queue.release_turn(turns.pop())
        first.cancel()
        assert isinstance(await second, wait_queue.Turn)
        await asyncio.gather(first, return_exceptions=True)
        assert queue.length == wait_queue.MAX_SEARCHING

    virtual_time.run(play())


def test_evicting_a_request_whose_caller_has_just_left_does_nothing():
    async def play():
        queue = _new_queue()
        await _fill(queue)
        place = _place(0, 0.1, 1.0)
        wait = asyncio.ensure_future(queue.acquire_turn(place))
        await asyncio.sleep(0)
        wait.cancel()
        queue.evict(place)
        await asyncio.gather(wait, return_exceptions=True)
        assert wait.cancelled()
        assert queue.length == wait_queue.MAX_SEARCHING

    virtual_time.run(play())
