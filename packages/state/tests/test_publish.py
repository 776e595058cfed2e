"""Publishing edits while the log service is faulty or slow."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from magnoliacrank.model import configuration
from magnoliacrank.platform import store_client
from magnoliacrank.platform import store_log
from magnoliacrank.standins import memory_log
from magnoliacrank.standins import platform_store
from magnoliacrank.standins import virtual_time
from magnoliacrank.state import appender as appender_lib
from magnoliacrank.state import edit as edit_lib
from magnoliacrank.state import log_follower
from magnoliacrank.state import publisher

OUT = configuration.DataCentreState.OUT


def edit_of(name):
    return edit_lib.Edit(data_centres={name: OUT})


@contextlib.asynccontextmanager
async def node(log, outcome_wait_s=0.05):
    follower = log_follower.LogFollower(
        log, long_poll_s=0.05, retry_delay_s=0.01
    )
    appender = appender_lib.Appender(
        log,
        follower,
        appends_per_s=1000.0,
        outcome_wait_s=outcome_wait_s,
        retry_delay_s=0.01,
    )
    await follower.start()
    await appender.start()
    try:
        yield follower, publisher.Publisher(follower, appender)
    finally:
        await appender.close()
        await follower.close()


async def test_publish_one_after_another_accepted_on_all_instances():
    log = memory_log.MemoryLog()
    async with node(log) as (one, first), node(log) as (two, second):
        await one.wait_until_ready()
        assert await first.publish(edit_of("a"), 0) == publisher.Accepted(1, 0)
        result = await second.publish(edit_of("b"), 1)
        assert result == publisher.Accepted(2, 1)
        assert two.state.configuration.data_centres == {"a": OUT, "b": OUT}


async def test_publish_with_stale_base_reports_conflicting_edits():
    log = memory_log.MemoryLog()
    async with node(log) as (_, first), node(log) as (_, second):
        await first.publish(edit_of("a"), 0, author="ana")
        result = await second.publish(edit_of("b"), 0)
        assert isinstance(result, publisher.Conflict)
        (by,) = result.edits
        assert (by.version, by.author) == (1, "ana")
        assert by.changes == ("data_centres.a",)


async def test_publish_again_returns_first_result():
    log = memory_log.MemoryLog()
    async with node(log) as (_, first), node(log) as (_, second):
        once = await first.publish(edit_of("a"), 0)
        assert await second.publish(edit_of("a"), 0) == once


async def test_publish_with_lost_response_accepted_once():
    log = memory_log.MemoryLog()
    log.faults.lost_answers = 2
    async with node(log) as (follower, first):
        result = await first.publish(edit_of("a"), 0)
        assert result == publisher.Accepted(1, 0)
        assert follower.state.version == 1


@contextlib.asynccontextmanager
async def stored_log(store):
    """Yields a log that is stored in one topic of the stand-in store."""
    await store.start()
    client = store_client.StoreClient(store.url)
    await client.start()
    try:
        yield store_log.StoreLog(client, "s")
    finally:
        await client.close()
        await store.close()


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (
            platform_store.Fault.BUSY,
            publisher.NotPublished(appender_lib.Failure.LOG_UNAVAILABLE),
        ),
        (platform_store.Fault.NONE, publisher.Accepted(1, 0)),
    ],
)
async def test_publish_to_store_returns_expected_outcome(fault, expected):
    store = platform_store.PlatformStore()
    store.fault = fault
    async with (
        stored_log(store) as log,
        node(log, outcome_wait_s=5.0) as (_, first),
    ):
        result = await first.publish(edit_of("a"), 0, timeout_s=0.3)
        assert result == expected


@pytest.mark.parametrize(
    "fault", [platform_store.Fault.LOST, platform_store.Fault.LATE]
)
async def test_publish_to_store_with_lost_response_accepted_once(fault):
    store = platform_store.PlatformStore()
    async with stored_log(store) as log, node(log) as (follower, first):
        await follower.wait_until_ready()
        store.append_faults = [fault]
        result = await first.publish(edit_of("a"), 0)
        assert result == publisher.Accepted(1, 0)
        assert follower.state.version == 1


async def _publish_to_slow_log(delay_s, is_down):
    log = memory_log.MemoryLog(clock=asyncio.get_running_loop().time)
    log.faults.delay_s = delay_s
    log.faults.is_down = is_down
    async with node(log, outcome_wait_s=0.5) as (_, first):
        return await first.publish(edit_of("a"), 0, timeout_s=1.0)


@pytest.mark.parametrize(
    ("delay_s", "is_down", "expected"),
    [
        (0.1, False, publisher.Accepted(1, 0)),
        (
            1.2,
            True,
            publisher.NotPublished(appender_lib.Failure.LOG_UNAVAILABLE),
        ),
        (3.0, True, publisher.Unknown(appender_lib.Failure.ANSWER_LOST)),
        (3.0, False, publisher.Unknown(appender_lib.Failure.ANSWER_LOST)),
        (0.7, False, publisher.Accepted(1, 0)),
    ],
)
def test_publish_to_slow_log_returns_unknown_when_undecided(
    delay_s, is_down, expected
):
    result = virtual_time.run(_publish_to_slow_log(delay_s, is_down))
    assert result == expected


async def test_publish_not_read_back_is_unknown():
    log = memory_log.MemoryLog()
    async with node(log) as (follower, first):
        await follower.wait_until_ready()
        await follower.close()
        result = await first.publish(edit_of("a"), 0, timeout_s=0.1)
        assert result == publisher.Unknown(appender_lib.Failure.NOT_READ_BACK)
        assert log.end_offset == 1


async def test_publish_with_lost_response_and_then_refused_stays_unknown():
    log = memory_log.MemoryLog()
    log.faults.lost_answers = 1
    async with node(log) as (follower, first):
        await follower.wait_until_ready()
        await follower.close()
        published = asyncio.create_task(
            first.publish(edit_of("a"), 0, timeout_s=0.2)
        )
        await asyncio.sleep(0.02)
        log.faults.is_down = True
        unknown = publisher.Unknown(appender_lib.Failure.ANSWER_LOST)
        assert await published == unknown
        assert log.end_offset == 1
