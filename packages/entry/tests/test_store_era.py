"""End-to-end tests of a store that comes back from an older copy."""

import asyncio
import json

import pytest

from magnoliacrank.entry import record_comparison
from magnoliacrank.platform import store_client
from magnoliacrank.standins import platform_store

ORDER = {"service": "svc", "target-version": "v2", "duration": "12s"}


def _copy_and_fill(site):
    """Returns a copy, after which the offsets of all topics are higher."""
    copy = site.store.copy()
    for number in range(20):
        site.store.put("keyed.op", f"other/{number}", b"{}")
    return copy


async def _rewind(site, copy):
    """Rewinds the store, and waits until all instances have read it anew."""
    site.store.rewind(copy)
    await site.until(
        lambda: all(
            item._view.era == site.store.era and item._reader.is_fresh()
            for item in site.instances
        )
    )


async def test_missing_server_serves_until_it_is_written_again(site):
    copy = site.store.copy()
    backend = await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    await _rewind(site, copy)
    status, _, _ = await site.request()
    assert status == 200
    site.register(backend)
    await asyncio.sleep(3.2)
    assert instance._view.entry("s1") is not None
    status, _, _ = await site.request()
    assert status == 200
    assert not instance._view.servers.held
    assert instance._view.plan.version == 1


async def test_server_that_is_not_written_again_is_gone(site, monkeypatch):
    monkeypatch.setattr(
        record_comparison.ServerComparison, "rewrite_window_s", 0.5
    )
    copy = site.store.copy()
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    await _rewind(site, copy)
    await site.until(lambda: instance._view.entry("s1") is None)
    assert "records not written again" in site.logs[0].names()


async def test_leaving_server_stays_out(site):
    first = await site.add_backend("s1")
    await site.add_backend("s2")
    copy = site.store.copy()
    first.state = "draining"
    site.register(first)
    instance = await site.add_instance()
    await site.ready()
    await _rewind(site, copy)
    await asyncio.sleep(3.0)
    for number in range(10):
        await site.request(request_id=f"r{number}")
    assert not first.runs
    assert [item.server_id for item in instance._view.backends("svc")] == ["s2"]


async def test_configuration_does_not_revert(site):
    await site.add_backend("s1")
    copy = _copy_and_fill(site)
    routes = [site.route("new", "/new/")]
    site.configure(site.configuration(5, routes))
    instance = await site.add_instance()
    await site.ready()
    await _rewind(site, copy)
    assert instance._view.plan.version == 5
    site.configure(site.configuration(3))
    await asyncio.sleep(1.0)
    assert instance._view.plan.version == 5
    site.configure(site.configuration(5, routes))
    site.configure(site.configuration(6, routes))
    await site.until(lambda: instance._view.plan.version == 6)


@pytest.mark.parametrize("is_written_again", [False, True])
async def test_lost_evacuation_stays_for_a_while(
    site, monkeypatch, is_written_again
):
    monkeypatch.setattr(
        record_comparison.OperatorComparison, "rewrite_window_s", 1.0
    )
    await site.add_backend("s1")
    copy = _copy_and_fill(site)
    site.store.put("keyed.op", "evacuate/b", b"{}")
    instance = await site.add_instance()
    await site.ready()
    await _rewind(site, copy)
    assert instance._view.evacuated == {"b"}
    if is_written_again:
        site.store.put("keyed.op", "evacuate/b", b"{}")
    await asyncio.sleep(2.0)
    assert instance._view.evacuated == ({"b"} if is_written_again else set())


async def test_new_records_at_old_offsets_are_read(site):
    """No read gets 410: the topic has grown past the old offsets again."""
    await site.add_backend("s1")
    copy = _copy_and_fill(site)
    instance = await site.add_instance()
    await site.ready()
    site.store.rewind(copy)
    site.store.put("keyed.op", "evacuate/b", b"{}")
    _copy_and_fill(site)
    _copy_and_fill(site)
    await site.until(lambda: instance._view.evacuated == {"b"})
    site.store.delete("keyed.op", "evacuate/b")
    await site.until(lambda: not instance._view.evacuated)


async def test_address_is_announced_again(site):
    copy = site.store.copy()
    await site.add_backend("s1")
    await site.add_instance()

    def is_announced():
        return "instance/front-1" in site.store.newest(
            store_client.MEMBERS_TOPIC
        )

    await site.until(is_announced)
    await site.ready()
    site.store.rewind(copy)
    assert not is_announced()
    await site.until(is_announced)


def _state(site):
    value = site.store.newest(store_client.STATUS_TOPIC).get("rollout/svc")
    return value and json.loads(value)["state"]


@pytest.mark.parametrize("state", ["running", "completed", "rolled_back"])
async def test_state_of_a_rollout_is_recorded_again(site, state):
    await site.add_backend("old1")
    await site.add_backend("new1", version="v2")
    site.store.put("keyed.op", "rollout/svc", json.dumps(ORDER).encode())
    copy = site.store.copy()
    status = {"service": "svc", "target-version": "v2", "state": state}
    site.store.put("keyed.status", "rollout/svc", json.dumps(status).encode())
    await site.add_instance()
    await site.ready()
    await site.until(lambda: _state(site) == state)
    await asyncio.sleep(0.3)
    site.store.rewind(copy)
    assert _state(site) is None
    await site.until(lambda: _state(site) == state)
    await asyncio.sleep(0.5)
    assert _state(site) == state


async def test_final_state_replaces_an_older_one_of_the_copy(site):
    """The copy holds the outcome of an earlier order for the same version."""
    await site.add_backend("old1")
    old = {"service": "svc", "target-version": "v2", "state": "rolled_back"}
    site.store.put("keyed.status", "rollout/svc", json.dumps(old).encode())
    instance = await site.add_instance()
    await site.ready()
    await site.add_backend("new1", version="v2")
    copy = site.store.copy()
    site.store.put("keyed.op", "rollout/svc", json.dumps(ORDER).encode())
    site.store.put(
        "keyed.status",
        "rollout/svc",
        json.dumps({**old, "state": "completed"}).encode(),
    )
    await site.until(lambda: instance._view.target_version("svc") is None)
    await site.until(lambda: instance._view.statuses.get("svc") is not None)
    await _rewind(site, copy)
    await site.until(lambda: _state(site) == "completed")
    assert instance._view.statuses["svc"].state.value == "completed"


async def test_lost_order_goes_on_with_its_trial(site):
    await site.add_backend("old1")
    await site.add_backend("new1", version="v2")
    copy = _copy_and_fill(site)
    site.store.put("keyed.op", "rollout/svc", json.dumps(ORDER).encode())
    instance = await site.add_instance()
    await site.ready()
    await site.until(lambda: instance._trials.trial("svc") is not None)
    trial = instance._trials.trial("svc")
    await _rewind(site, copy)
    assert instance._trials.trial("svc") is trial
    site.store.put("keyed.op", "rollout/svc", json.dumps(ORDER).encode())
    await site.until(
        lambda: (
            "rollout/svc"
            not in {record.key for record in instance._view.operators.held}
        )
    )
    assert instance._trials.trial("svc") is trial


async def _two_instances(site):
    await site.add_backend("s1")
    for number in (1, 2):
        await site.add_instance(number, seeds=("127.0.0.1",))
    await site.ready()
    await site.until(
        lambda: all(
            len(item._roster.ready_instances(item._clock())) == 2
            for item in site.instances
        )
    )


async def test_instance_without_the_store_learns_of_the_era_from_others(site):
    await _two_instances(site)
    cut_off = site.instances[1]
    cut_off._store._url = "http://127.0.0.1:1/api/"
    copy = _copy_and_fill(site)
    site.configure(site.configuration(7))
    await site.until(lambda: cut_off._view.plan.version == 7)
    await _rewind(site, copy)
    assert cut_off._view.plan.version == 7
    assert cut_off._reader.rewinds == 1
    assert "other/1" in cut_off._view.operators.values()
    site.store.put("keyed.op", "evacuate/b", b"{}")
    await site.until(lambda: cut_off._view.evacuated == {"b"})


async def test_instance_started_after_the_rewind_has_the_configuration(site):
    """The copy in the store has an older one than is in force elsewhere."""
    await site.add_backend("s1")
    copy = _copy_and_fill(site)
    site.configure(site.configuration(7))
    await site.add_instance(1, seeds=("127.0.0.1",))
    await site.ready()
    await _rewind(site, copy)
    late = await site.add_instance(2, seeds=("127.0.0.1",))
    await site.ready()
    await site.until(lambda: late._view.plan.version == 7)
    assert late._view.era == 2


async def test_store_that_rewinds_during_an_outage(site):
    """The instance serves by what it believed, and the era isn't skipped."""
    await site.add_backend("s1")
    copy = _copy_and_fill(site)
    site.configure(site.configuration(7))
    instance = await site.add_instance()
    await site.ready()
    site.store.fault = platform_store.Fault.RESET
    await site.until(lambda: instance._reader.is_store_unavailable)
    site.store.rewind(copy)
    site.store.rewind(copy)
    status, _, _ = await site.request()
    assert status == 200
    site.store.fault = platform_store.Fault.NONE
    await site.until(lambda: instance._view.era == 3)
    assert instance._view.plan.version == 7
    status, _, _ = await site.request()
    assert status == 200


async def test_peer_of_an_older_era_verifies_nothing(site):
    """Its offsets are higher, and say nothing about the new era."""
    await site.add_backend("s1")
    copy = _copy_and_fill(site)
    instance = await site.add_instance()
    await site.ready()
    beat = instance.next_heartbeat()
    await _rewind(site, copy)
    await instance._reader.close()
    before_s = instance._reader.verified_s
    beat.verified_age_ms = 0
    instance._reader.on_heartbeat(beat.fact, beat)
    assert instance._reader.verified_s == before_s
    assert instance._reader.is_fresh()
    assert instance._view.era == 2


async def test_wrong_era_in_a_heartbeat_does_not_turn_away_from_the_store(site):
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    beat = instance.next_heartbeat()
    beat.store_era = 99
    instance._reader.on_heartbeat(beat.fact, beat)
    assert not instance._reader.is_fresh()
    await site.until(instance._reader.is_fresh)
    site.store.put("keyed.op", "evacuate/b", b"{}")
    await site.until(lambda: instance._view.evacuated == {"b"})
