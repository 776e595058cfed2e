"""Tests of the store's clients when it comes back from an older copy."""

import contextlib

import pytest

from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.platform import log_service
from magnoliacrank.platform import store_client
from magnoliacrank.platform import store_instance_list
from magnoliacrank.platform import store_log
from magnoliacrank.standins import platform_store

Kind = store_client.StoreFailureKind
TOPIC = "keyed.op"


@pytest.fixture
async def store():
    """Yields a started stand-in of the store without records."""
    made = platform_store.PlatformStore()
    await made.start()
    yield made
    await made.close()


@contextlib.asynccontextmanager
async def connected(store):
    """Yields a started client of the store."""
    client = store_client.StoreClient(store.url)
    await client.start()
    try:
        yield client
    finally:
        await client.close()


async def test_results_state_their_era(store):
    store.put(TOPIC, "a", b"1")
    async with connected(store) as client:
        assert client.era is None
        listing = await client.newest(TOPIC, 1.0)
        assert (listing.era, listing.records[0].position) == (1, (1, 0))
        store.era = None
        page = await client.read(TOPIC, 0, 0.0, 1.0)
        assert (page.era, page.records[0].position) == (1, (1, 0))


@pytest.mark.parametrize("is_busy", [False, True])
async def test_any_answer_tells_of_the_new_era_once(store, is_busy):
    eras = []
    async with connected(store) as client:
        client.add_era_listener(eras.append)
        await client.newest(TOPIC, 1.0)
        store.rewind({})
        if is_busy:
            store.fault = platform_store.Fault.BUSY
        for _ in range(2):
            await client.newest(TOPIC, 1.0)
    assert eras == [2]


async def test_late_answer_of_an_older_era_is_discarded(store):
    async with connected(store) as client:
        await client.newest(TOPIC, 1.0)
        client.note_era(2)
        for result in (
            await client.read(TOPIC, 0, 0.0, 1.0),
            await client.newest(TOPIC, 1.0),
            await client.append("keyed.status", "a", b"b", 1.0),
        ):
            assert result.kind is Kind.OTHER_ERA
            assert result.may_have_run


async def test_pages_of_two_eras_are_not_one_listing(store, monkeypatch):
    monkeypatch.setattr(platform_store, "_PAGE_ITEMS", 1)
    for key in "abc":
        store.put(TOPIC, key, b"1")
    copy = store.copy()
    async with connected(store) as client:
        call = client._call

        async def rewinding_call(*arguments):
            answer = await call(*arguments)
            store.rewind(copy)
            return answer

        monkeypatch.setattr(client, "_call", rewinding_call)
        result = await client.newest(TOPIC, 1.0)
    assert result.kind is Kind.OTHER_ERA


async def test_end_of_an_older_era_does_not_match_by_chance(store):
    copy = store.copy()
    async with connected(store) as client:
        await client.append("keyed.status", "a", b"1", 1.0)
        listing = await client.newest("keyed.status", 1.0)
        store.rewind(copy)
        await client.append("keyed.status", "b", b"2", 1.0)
        result = await client.append(
            "keyed.status", "a", b"3", 1.0, listing.end, listing.era
        )
    assert result.kind is Kind.OTHER_ERA


async def test_log_is_neither_read_nor_written_in_a_new_era(store):
    copy = store.copy()
    async with connected(store) as client:
        log = store_log.StoreLog(client, "t")
        await log.append([b"a", b"b"])
        await log.read(ids.LogOffset(0), 10, 0.0)
        store.rewind(copy)
        await client.newest("keyed.op", 1.0)
        with pytest.raises(log_service.LogRewoundError, match="restart"):
            await log.read(ids.LogOffset(2), 10, 0.0)
        with pytest.raises(log_service.LogRewoundError):
            await log.append([b"c"])
        again = store_log.StoreLog(client, "t")
        assert await again.append([b"d"]) == 0


async def test_outcome_of_an_append_that_meets_the_new_era_is_unknown(store):
    async with connected(store) as client:
        log = store_log.StoreLog(client, "t")
        await log.append([b"a"])
        store.rewind({})
        with pytest.raises(log_service.AppendOutcomeUnknownError):
            await log.append([b"b"])


async def test_instance_list_is_read_anew(store):
    entry = instance.EntryInstance(
        instance_id=ids.InstanceId("e1"),
        data_centre=ids.DataCentre("a"),
        host="10.0.0.1",
        http_port=1,
        peer_port=2,
        incarnation=ids.Incarnation(1),
    )
    copy = store.copy()
    async with connected(store) as client:
        listed = store_instance_list.StoreInstanceList(client)
        for _ in range(3):
            await listed.announce(entry)
        found = await listed.fetch()
        assert (found.era, found.instances[0].renewal_offset) == (1, 2)
        store.rewind(copy)
        found = await listed.fetch()
        assert (found.era, found.instances) == (2, ())
        await listed.announce(entry)
        found = await listed.fetch()
    assert found.instances == (instance.Announcement(entry, 0, 2),)
