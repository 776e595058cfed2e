"""Tests of StoreLog and StoreInstanceList against a stand-in of the store."""

import asyncio
import contextlib

import msgspec
import pytest

from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.platform import instance_list
from magnoliacrank.platform import log_service
from magnoliacrank.platform import store_client
from magnoliacrank.platform import store_instance_list
from magnoliacrank.platform import store_log
from magnoliacrank.standins import platform_store
from magnoliacrank.standins import server_registry

Fault = platform_store.Fault


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


def entry(name="e1", **fields):
    """Returns an entry instance."""
    return instance.EntryInstance(
        instance_id=ids.InstanceId(name),
        data_centre=ids.DataCentre("rennes"),
        host="10.0.0.1",
        http_port=8080,
        peer_port=8081,
        incarnation=ids.Incarnation(7),
        **fields,
    )


async def test_appended_records_are_read_by_offset(store):
    async with connected(store) as client:
        log = store_log.StoreLog(client, "t")
        assert await log.append([b"a", b"", b"c"]) == 0
        assert await log.append([b"d"]) == 3
        page = await log.read(ids.LogOffset(1), 2, 0.0)
    assert [record.data for record in page.records] == [b"", b"c"]
    assert [record.offset for record in page.records] == [1, 2]
    assert (page.next_offset, page.oldest_offset, page.end_offset) == (3, 0, 4)


async def test_read_of_expired_records_starts_at_oldest(store):
    async with connected(store) as client:
        log = store_log.StoreLog(client, "t")
        await log.append([b"a", b"b"])
        store.compact("t")
        await log.append([b"c"])
        page = await log.read(ids.LogOffset(0), 10, 0.0)
    assert [(one.offset, one.data) for one in page.records] == [(2, b"c")]
    assert page.oldest_offset == 2


async def test_read_beyond_end_returns_end_offset(store):
    async with connected(store) as client:
        log = store_log.StoreLog(client, "t")
        await log.append([b"a"])
        page = await log.read(ids.LogOffset(9), 10, 0.0)
    assert (page.records, page.next_offset, page.end_offset) == ((), 1, 1)


@pytest.mark.parametrize(
    ("fault", "error", "is_written"),
    [
        (Fault.BUSY, log_service.LogUnavailableError, False),
        (Fault.RESET, log_service.AppendOutcomeUnknownError, False),
        (Fault.LOST, log_service.AppendOutcomeUnknownError, True),
    ],
)
async def test_append_failure_states_whether_records_may_be_written(
    store, fault, error, is_written
):
    async with connected(store) as client:
        log = store_log.StoreLog(client, "t")
        store.append_faults = [fault]
        with pytest.raises(error):
            await log.append([b"a"])
        page = await log.read(ids.LogOffset(0), 10, 0.0)
    assert bool(page.records) is is_written


@pytest.mark.parametrize("fault", [Fault.BUSY, Fault.RESET])
async def test_read_failure_is_unavailable(store, fault):
    store.fault = fault
    async with connected(store) as client:
        log = store_log.StoreLog(client, "t")
        with pytest.raises(log_service.LogUnavailableError):
            await log.read(ids.LogOffset(0), 10, 0.0)


async def test_append_to_closed_store_raises_unavailable(store):
    async with connected(store) as client:
        log = store_log.StoreLog(client, "t")
        await store.close()
        with pytest.raises(log_service.LogUnavailableError):
            await log.append([b"a"])


async def test_announcement_is_listed_until_withdrawn(store):
    async with connected(store) as client:
        listed = store_instance_list.StoreInstanceList(client)
        await listed.announce(entry())
        leaving = entry(state=server.ListedState.LEAVING)
        await listed.announce(leaving)
        found = await listed.fetch()
        assert found.instances == (instance.Announcement(leaving, 1, 1),)
        await listed.withdraw(leaving.instance_id)
        assert (await listed.fetch()).instances == ()


async def test_unreadable_entries_leave_the_others_listed(store):
    registry = server_registry.ServerRegistry(store)
    async with connected(store) as client:
        listed = store_instance_list.StoreInstanceList(client)
        store.put("keyed.servers", "odd", b"\xff{")
        store.put("keyed.entry-instances", "odd", b'{"host": 3}')
        backend = server.BackendServer(
            server_id=ids.ServerId("i-1"),
            service=ids.ServiceName("rounds"),
            version=ids.SoftwareVersion("1"),
            data_centre=ids.DataCentre("rennes"),
            host="10.0.0.2",
            port=90,
            slots=4,
            connections=200,
            state=server.ListedState.LEAVING,
        )
        registry.put(backend)
        await listed.announce(entry())
        found = await listed.fetch()
    assert found.servers == (backend,)
    assert [one.entry for one in found.instances] == [entry()]


async def test_list_without_store_is_unavailable(store):
    store.fault = Fault.BUSY
    async with connected(store) as client:
        listed = store_instance_list.StoreInstanceList(client)
        with pytest.raises(instance_list.InstanceListUnavailableError):
            await listed.fetch()
        with pytest.raises(instance_list.InstanceListUnavailableError):
            await listed.announce(entry())


async def test_list_reads_only_what_has_changed(store):
    async with connected(store) as client:
        listed = store_instance_list.StoreInstanceList(client)
        await listed.announce(entry("e1"))
        await listed.fetch()
        whole_reads = store.calls["newest"]
        await listed.announce(entry("e2"))
        await listed.withdraw(ids.InstanceId("e1"))
        found = await listed.fetch()
        assert store.calls["newest"] == whole_reads
    assert [one.entry.instance_id for one in found.instances] == ["e2"]


async def test_list_starts_over_when_history_has_expired(store):
    async with connected(store) as client:
        listed = store_instance_list.StoreInstanceList(client)
        await listed.announce(entry("e1"))
        await listed.announce(entry("e2"))
        await listed.fetch()
        store.delete("keyed.entry-instances", "e1")
        await listed.announce(entry("e3"))
        store.compact("keyed.entry-instances")
        found = await listed.fetch()
    names = [one.entry.instance_id for one in found.instances]
    assert names == ["e2", "e3"]


async def test_list_keeps_its_entries_over_an_outage(store):
    async with connected(store) as client:
        listed = store_instance_list.StoreInstanceList(client)
        await listed.announce(entry("e1"))
        before = await listed.fetch()
        store.fault = Fault.BUSY
        with pytest.raises(instance_list.InstanceListUnavailableError):
            await listed.fetch()
        store.fault = Fault.NONE
        assert await listed.fetch() == before


async def test_list_reads_more_changes_than_fit_in_a_page(store):
    """Guards against a list that ends within the changes since the last."""
    async with connected(store) as client:
        listed = store_instance_list.StoreInstanceList(client)
        await listed.announce(entry("e1"))
        await listed.fetch()
        value = msgspec.json.encode(entry("e1"))
        for _ in range(5 * 262_144 // len(value)):
            store.put("keyed.entry-instances", "e1", value)
        await listed.announce(entry("e2"))
        found = await listed.fetch()
    names = [one.entry.instance_id for one in found.instances]
    assert names == ["e1", "e2"]


async def test_endless_answer_of_the_store_is_a_failure():
    """Guards against an answer that takes all memory until its timeout."""
    sent = 0

    async def answer(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        try:
            while True:
                writer.write(b"x" * 65536)
                await writer.drain()
                sent += 65536
        except ConnectionError:
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = store_client.StoreClient(f"http://127.0.0.1:{port}")
    await client.start()
    result = await client.newest("keyed.op", 30.0)
    assert isinstance(result, store_client.StoreFailure)
    assert result.kind is store_client.StoreFailureKind.MALFORMED
    assert sent < 24 << 20
    await client.close()
    server.close()
