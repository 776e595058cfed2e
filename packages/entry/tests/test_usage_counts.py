"""Usage from callers' requests to the platform's interface, over sockets."""

import asyncio
import collections
import json

from magnoliacrank.entry import usage_counter
from magnoliacrank.platform import instance_settings
from magnoliacrank.platform import usage_client
from magnoliacrank.standins import platform_backend
from magnoliacrank.standins import usage_service


def _fields(service, seeds=()):
    return {
        "bounds": instance_settings.SafetyBounds(
            grace_s=3.2, lease_s=0.5, usage_window_s=1.0, usage_late_s=10.0
        ),
        "cloud": instance_settings.CloudSettings(
            service.address, (usage_client.DUTY,), 50.0
        ),
        "seeds": seeds,
    }


async def test_requests_through_all_instances_are_reported_together(site):
    """Requests that a server refused to run don't count."""
    loop = asyncio.get_running_loop()
    service = usage_service.UsageService(loop.time)
    await service.start()
    tenants = [
        {"name": "huka", "api-keys": ["key-1"]},
        {"name": "puhu", "api-keys": ["key-2"]},
    ]
    site.configure(site.configuration(tenants=tenants))
    runs = await site.add_backend("s1")
    refuses = await site.add_backend("s2")
    refuses.fault = platform_backend.BackendFault.SHED
    first = await site.add_instance(1, **_fields(service))
    await site.add_instance(2, **_fields(service, ("127.0.0.1",)))
    await site.ready()
    await site.until(lambda: "front-2" in first._usage.counter.clocks, 20)
    # Windows that began before the instances have met may be left out.
    await asyncio.sleep(1.2)

    def reported():
        totals = collections.Counter()
        for counts in service.accepted.values():
            totals.update(counts)
        return totals

    for number in range(120):
        await site.request(
            number=1 + number % 2,
            request_id=f"r{number}",
            headers={"Authorization": f"Bearer key-{1 + number % 3 // 2}"},
        )
        await asyncio.sleep(0.02)
    executed = collections.Counter(
        headers["Tenant"] for headers in runs.received_headers
    )
    assert set(executed) == {"huka", "puhu"}
    await site.until(lambda: reported() == executed, timeout_s=40)
    await asyncio.sleep(1)
    assert reported() == executed
    assert service.violations(0.5) == []
    await service.close()


async def test_duty_is_taken_anew_after_a_reset_of_the_store(site):
    loop = asyncio.get_running_loop()
    service = usage_service.UsageService(loop.time)
    await service.start()
    await site.add_backend("s1")
    instances = [
        await site.add_instance(number, **_fields(service, seeds))
        for number, seeds in ((1, ()), (2, ("127.0.0.1",)))
    ]
    await site.ready()
    copy = site.store.copy()
    await asyncio.sleep(1.2)
    for instance in instances:
        instance._usage.counter.add("huka")
    await site.until(lambda: len(service.accepted) > 1, 40)
    site.store.rewind(copy)
    await site.until(lambda: service.highest_token >> 32 == 2, 40)
    await site.until(lambda: service.calls[-1].is_accepted, 40)
    assert service.violations(0.5) == []
    records = site.store.newest("keyed.usage-duty")
    assert json.loads(records["holder"])["era"] == 2
    await service.close()


def test_request_counts_in_the_window_of_most_clocks():
    counter = usage_counter.UsageCounter(
        5.0, 10.0, lambda: 50.0, is_enabled=True, time_of_day=lambda: 1001.5
    )
    for number, unix_s in enumerate((999.4, 999.5, 999.5, 1001.5)):
        counter.on_peer_time(f"front-{number}", round(unix_s * 1000))
    assert counter.add("huka") == 199
    assert len(counter.clocks) == 4


async def test_without_the_duty_nothing_is_counted_and_no_call_made(site):
    instance = await site.add_instance()
    assert instance._usage.counter.add("huka") is None
    assert instance._usage.counter.meter.report(1 << 40) == []
    assert not instance._usage.on_push(b"\x93\xa1a\x01\x90")
    assert "usage_calls" not in instance._metrics.render().decode()
