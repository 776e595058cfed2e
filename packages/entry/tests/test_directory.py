"""Tests of the directory, which tells callers the addresses of instances."""

import json

DIRECTORY = 2


async def _addresses(site, data_centre, number=1):
    path = f"/api/resolve?name=site.example&region=r&zone={data_centre}"
    _, content = await site.ask(DIRECTORY, path, number)
    return [
        address.partition(":")[0]
        for address in json.loads(content)["addresses"]
    ]


async def test_callers_of_an_evacuated_data_centre_go_where_servers_are(site):
    await site.add_backend("s1", data_centre="a")
    await site.add_backend("s2", data_centre="b")
    await site.add_instance(1, "a")
    await site.add_instance(2, "b")
    await site.ready()
    await site.until(
        lambda: (
            len(
                site.instances[0]._roster.ready_instances(
                    site.instances[0]._clock()
                )
            )
            == 2
        )
    )
    assert await _addresses(site, "a") == ["127.0.0.1"]
    site.store.put("keyed.op", "evacuate/a", b"{}")
    await site.until(lambda: site.instances[0]._view.evacuated)
    assert await _addresses(site, "a") == ["127.0.0.2"]
    site.store.put("keyed.op", "evacuate/a", b"")
    await site.until(lambda: not site.instances[0]._view.evacuated)
    assert await _addresses(site, "a") == ["127.0.0.1"]


async def test_expected_answer_size_is_known_after_an_answer(site):
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    await site.request()
    plan = instance._view.plan
    rule = plan.find_route("site.example", "/read/1")
    assert instance._state.expected_answer_bytes(rule) == len("s1")


async def test_part_of_the_callers_is_steered_during_a_lasting_shortage(site):
    """Followers hear of it by heartbeats, as they don't hear from afar."""
    await site.add_backend("s1", data_centre="a")
    await site.add_backend("s2", data_centre="b")
    await site.add_instance(1, "a")
    await site.add_instance(2, "b")
    await site.ready()
    instance = site.instances[0]
    await site.until(
        lambda: len(instance._roster.ready_instances(instance._clock())) == 2
    )
    await site.request()
    shares = instance._spillover.lasting_shares
    now_s = instance._clock()
    (service,) = instance._view.plan.services_of("site.example")
    for step in range(1, 200):
        shares.update(service, {"b": 1.0}, now_s + step * 0.5)
    instance.next_heartbeat()
    found = [await _addresses(site, "a") for _ in range(60)]
    assert ["127.0.0.2"] in found
    assert ["127.0.0.1"] in found
    assert await _addresses(site, "b") == ["127.0.0.2"]
