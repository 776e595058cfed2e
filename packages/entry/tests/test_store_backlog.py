"""A reader that lacks more records than one answer of the store holds.

It has read the store only when nothing is missing; other instances take its
word for that.
"""

import asyncio
import json
import threading

import pytest

from magnoliacrank.entry import configuration_decoder
from magnoliacrank.platform import operator_wire
from magnoliacrank.platform import store_client

FAILURE = store_client.StoreFailure(
    store_client.StoreFailureKind.NO_ANSWER, "fault of the test"
)


def large_configuration(site, version, count=700, service="svc"):
    """Returns a configuration with as many routes, of 178 bytes each."""
    paths = [
        site.route(f"route-{number:04d}", f"/r{number:04d}/", service=service)
        for number in range(count)
    ]
    return site.configuration(version, paths)


async def paused(site):
    """Returns an instance that has read the store and reads no further."""
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.until(instance._reader.is_fresh)
    await instance._reader.close()
    return instance


@pytest.mark.parametrize("count", [1, 2, 3, 12, 25])
async def test_newest_of_many_large_configurations_is_in_force(site, count):
    """Guards against one page of a backlog that counts as the whole."""
    instance = await paused(site)
    for version in range(2, 2 + count):
        site.configure(large_configuration(site, version))
    calls = instance._store.calls
    assert await instance._reader._read_store()
    assert instance._view.plan.version == 1 + count
    assert instance._view.operators.next_offset == count + 1
    assert instance._store.calls <= calls + 3


async def test_backlog_of_renewals_ends_with_the_newest_entries(site):
    instance = await paused(site)
    leaving = site.backends[0]
    for _ in range(6000):
        site.register(leaving)
    leaving.state = "draining"
    site.register(leaving)
    assert await instance._reader._read_store()
    assert not instance._view.backends("svc")


@pytest.mark.parametrize("result", [FAILURE, asyncio.CancelledError()])
async def test_failure_within_a_backlog_does_not_count_as_read(
    site, monkeypatch, result
):
    """Guards against other views that are verified by an incomplete one."""
    instance = await paused(site)
    verified_s = instance._reader.verified_s
    for version in range(2, 12):
        site.configure(large_configuration(site, version))

    async def newest(topic, timeout_s):
        if isinstance(result, store_client.StoreFailure):
            return result
        raise result

    with monkeypatch.context() as patch:
        patch.setattr(instance._store, "newest", newest)
        try:
            assert not await instance._reader._read_store()
        except asyncio.CancelledError:
            assert result is not FAILURE
    assert instance._reader.verified_s == verified_s
    assert 1 < instance._view.plan.version < 11
    assert await instance._reader._read_store()
    assert instance._reader.verified_s > verified_s
    assert instance._view.plan.version == 11


async def test_superseded_configurations_are_not_decoded(site, monkeypatch):
    """Guards against requests that wait for versions that never count."""
    instance = await paused(site)
    for version in range(2, 7):
        site.configure(large_configuration(site, version, count=150))
    decoded = []
    decode = operator_wire.decode_configuration

    def record(value):
        decoded.append(threading.current_thread())
        return decode(value)

    monkeypatch.setattr(operator_wire, "decode_configuration", record)
    assert await instance._reader._read_store()
    assert instance._view.plan.version == 6
    assert len(decoded) == 1
    assert decoded[0] is not threading.main_thread()


async def test_unreadable_configuration_leaves_the_one_before_in_force(site):
    instance = await paused(site)
    site.configure(large_configuration(site, 2, count=10))
    site.configure(large_configuration(site, 3, count=10))
    site.configure(b'{"version": 4}')
    assert await instance._reader._read_store()
    assert instance._view.plan.version == 3
    assert instance._view.unreadable_records == 1


async def test_configuration_decoded_in_advance_is_that_of_its_value(site):
    """The records may change between the decoding and their application."""
    instance = await paused(site)
    view = instance._view.operators
    decoder = configuration_decoder.ConfigurationDecoder()
    values = [large_configuration(site, version) for version in (2, 3)]
    site.configure(values[0])
    page = await instance._store.read("keyed.op", view.next_offset, 0.0, 1.0)
    await decoder.prepare(page.records, view)
    assert decoder.decode(values[1]).version == 3
    assert decoder.decode(page.records[0].value).version == 2
    broken = json.dumps({"version": 4, "services": "x" * 20_000}).encode()
    site.configure(broken)
    page = await instance._store.read("keyed.op", view.next_offset, 0.0, 1.0)
    await decoder.prepare(page.records, view)
    with pytest.raises(ValueError, match="services"):
        decoder.decode(page.records[-1].value)
