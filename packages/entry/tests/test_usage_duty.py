"""The usage duty under faults, in virtual time.

Each scenario ends with a check that no window has two reports, no token two
holders, and that holders don't alternate within the lease time.
"""

import asyncio

import pytest

from magnoliacrank.entry import usage_messages
from magnoliacrank.platform import usage_client
from magnoliacrank.policy import duty_lease
from magnoliacrank.policy import usage_windows
from magnoliacrank.standins import usage_service
from magnoliacrank.standins import usage_simulation
from magnoliacrank.standins import virtual_time

Fault = usage_service.UsageFault

_LEASE_S = usage_simulation.LEASE_S
_FIRST = usage_simulation.FIRST_WINDOW


def _play(scenario):
    async def main():
        system = usage_simulation.UsageSimulation()
        await asyncio.sleep(0.1)
        await scenario(system)
        assert system.service.violations(_LEASE_S) == []

    virtual_time.run(main())


def _key(window):
    kept_windows = usage_simulation.KEPT_WINDOWS
    return usage_messages.report_key(window, kept_windows)


def _windows(first, last):
    return list(range(_FIRST + first, _FIRST + last + 1))


def test_each_window_is_reported_once_by_one_holder():
    async def scenario(system):
        await asyncio.sleep(60)
        assert system.windows() == _windows(0, 10)
        assert {call.holder for call in system.service.calls} == {"a"}
        assert len(system.service.calls) == 11

    _play(scenario)


@pytest.mark.parametrize(
    ("present", "final_s", "counts", "incomplete"),
    [
        (["front-2"], 4.0, {"huka": 400, "puhu": 30}, False),
        (["front-2"], 6.0, {"huka": 400, "puhu": 20}, True),
        ([], 6.0, {"huka": 400, "puhu": 20}, True),
    ],
    ids=["late", "too late", "lost"],
)
def test_missing_counts_are_awaited_and_then_stated(
    present, final_s, counts, incomplete
):
    """What an instance has counted and lost is logged, not estimated."""

    async def scenario(system):
        system.present = present
        source = usage_windows.Source("front-2", 1)
        window = _FIRST + 1

        def state(revision, count, *, is_final):
            stated = usage_windows.WindowCounts(
                window, revision, is_final, {"puhu": count}
            )
            system.a.ledger.merge(source, stated, window + 1)

        await asyncio.sleep(8)
        state(1, 20, is_final=False)
        await asyncio.sleep(2 + final_s)
        state(2, 30, is_final=True)
        await asyncio.sleep(4)
        reported = system.service.accepted[window]
        assert {**reported, "builder a": 1} == {**counts, "builder a": 1}
        logged = [
            fields["instances"]
            for fields in system.a.events("usage incomplete")
            if fields["window"] == window
        ]
        assert logged == ([["front-2"]] if incomplete else [])

    _play(scenario)


@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.LATE, Fault.LOST])
def test_holder_is_killed_before_it_gets_an_answer(fault):
    """The successor repeats the recorded report, not its own counts."""

    async def scenario(system):
        await asyncio.sleep(16)
        system.service.fault = fault
        await asyncio.sleep(2.6)
        assert system.a.outbox.accepted == 2
        system.a.kill()
        system.service.fault = Fault.NONE
        await asyncio.sleep(40)
        assert system.windows() == _windows(0, 10)
        assert "builder a" in system.service.accepted[_FIRST + 2]
        assert system.b.outbox.missed == 0

    _play(scenario)


def test_holder_is_killed_between_recording_and_sending():
    async def scenario(system):
        def on_appended(key):
            if key == _key(_FIRST + 2):
                system.a.kill()

        system.a.store.on_appended = on_appended
        await asyncio.sleep(40)
        assert system.windows() == _windows(0, 6)
        assert "builder a" in system.service.accepted[_FIRST + 2]
        assert "builder b" in system.service.accepted[_FIRST + 3]

    _play(scenario)


def test_call_that_is_executed_after_those_of_the_successor():
    async def scenario(system):
        system.service.late_s = 12.0
        await asyncio.sleep(16)
        system.service.fault = Fault.LATE
        await asyncio.sleep(2.5)
        system.a.kill()
        system.service.fault = Fault.NONE
        await asyncio.sleep(40)
        late = [call for call in system.service.calls if not call.is_accepted]
        assert late
        assert {call.holder for call in late} == {"a"}
        assert system.windows() == _windows(0, 10)

    _play(scenario)


@pytest.mark.parametrize("name", ["lost_appends", "late_appends"])
def test_answer_of_the_store_is_lost(name):
    async def scenario(system):
        await asyncio.sleep(16)
        setattr(system.a.store, name, 1)
        await asyncio.sleep(34)
        assert system.windows() == _windows(0, 8)
        assert {call.holder for call in system.service.calls} == {"a"}

    _play(scenario)


@pytest.mark.parametrize(
    ("seconds", "missed"), [(4.0, []), (8.0, []), (16.0, [2, 3])]
)
def test_store_is_down(seconds, missed):
    """Windows are reported when it is back, unless they are too late."""

    async def scenario(system):
        await asyncio.sleep(16)
        for instance in (system.a, system.b):
            instance.store.is_cut_off = True
        await asyncio.sleep(seconds)
        for instance in (system.a, system.b):
            instance.store.is_cut_off = False
        await asyncio.sleep(60 - 16 - seconds)
        left_out = {_FIRST + number for number in missed}
        expected = [item for item in _windows(0, 10) if item not in left_out]
        assert system.windows() == expected

    _play(scenario)


@pytest.mark.parametrize("pauses", [False, True])
def test_holder_is_cut_off_or_paused_and_comes_back(pauses):
    """The other instance takes over before a window is too late."""

    async def scenario(system):
        await asyncio.sleep(16)
        if pauses:
            system.a.pause()
        system.a.cut_off(is_cut_off=True)
        await asyncio.sleep(20)
        system.a.resume()
        system.a.cut_off(is_cut_off=False)
        await asyncio.sleep(24)
        assert system.windows() == _windows(0, 10)
        assert {call.holder for call in system.service.calls} == {"a", "b"}
        assert system.a.reasons() == ["another-holder"]
        assert all(call.is_accepted for call in system.service.calls)

    _play(scenario)


@pytest.mark.parametrize(
    ("at_s", "missed"), [(18.6, []), (22.0, [3])], ids=["lease", "no lease"]
)
def test_store_returns_from_an_older_copy(at_s, missed):
    """Without a lease, the holder leaves out what others may have reported."""

    async def scenario(system):
        await asyncio.sleep(at_s)
        system.records.reset(lost=len(system.records.items))
        system.a.store.learn_era()
        await asyncio.sleep(60 - at_s)
        assert system.windows() == [
            item for item in _windows(0, 10) if item - _FIRST not in missed
        ]
        tokens = sorted({call.token >> 32 for call in system.service.calls})
        assert tokens == [1, 2]

    _play(scenario)


def test_reports_that_the_store_has_lost_are_written_again():
    async def scenario(system):
        await asyncio.sleep(18.6)
        system.records.reset(lost=len(system.records.items))
        system.a.store.learn_era()
        await asyncio.sleep(0.9)
        keys = {key for key, _ in system.records.items}
        expected = set(map(_key, _windows(0, 2)))
        assert keys == {"holder", *expected}

    _play(scenario)


def test_delayed_write_does_not_replace_a_report_after_a_reset():
    async def scenario(system):
        await asyncio.sleep(18.6)
        window = _FIRST + 2
        records = system.records
        key = _key(window)
        sent = dict(records.items)[key]
        records.reset(lost=1)
        other = usage_client.encode_report(window, {"huka": 1}).decode()
        delayed = usage_messages.encode_report(window, other)
        records.append(key, delayed, None)
        system.a.store.learn_era()
        await asyncio.sleep(1)
        assert dict(records.items)[key] == sent
        system.a.kill()
        await asyncio.sleep(10)

    _play(scenario)


def test_holder_and_its_records_are_lost_together():
    """The successor doesn't guess what the former holder has sent."""

    async def scenario(system):
        await asyncio.sleep(18.5)
        assert system.windows() == _windows(0, 2)
        system.a.kill()
        system.records.reset(lost=1)
        await asyncio.sleep(40)
        accepted = system.service.accepted
        assert "builder a" in accepted[_FIRST + 2]
        assert "may-have-been-reported" in system.b.reasons()
        assert system.windows()[-1] == _FIRST + 10

    _play(scenario)


def test_windows_before_the_start_of_all_processes_are_left_out():
    """Their counts were lost with the processes; zero would be a guess."""

    async def scenario(system):
        holder = duty_lease.DutyRecord("z", (1 << 32) + 5, 1)
        report = usage_messages.encode_report(_FIRST - 2, None)
        system.records.items += [
            ("holder", usage_messages.encode_holder(holder)),
            (_key(_FIRST - 2), report),
        ]
        await asyncio.sleep(30)
        assert system.windows() == _windows(0, 4)
        assert system.a.reasons() == ["no-counts"]
        assert system.service.calls[0].token == holder.token + 1

    _play(scenario)


def test_refused_token_is_not_used_again():
    async def scenario(system):
        await asyncio.sleep(16)
        system.service.highest_token += 7
        await asyncio.sleep(44)
        refused = [
            call for call in system.service.calls if not call.is_accepted
        ]
        assert len(refused) == 1
        assert system.a.reasons() == ["fenced"]
        assert system.windows() == _windows(0, 10)

    _play(scenario)


@pytest.mark.parametrize("fault", [Fault.THROTTLED, Fault.DOWN, Fault.SILENT])
def test_platform_is_away_for_a_while(fault):
    async def scenario(system):
        await asyncio.sleep(16)
        system.service.fault = fault
        await asyncio.sleep(6)
        system.service.fault = Fault.NONE
        assert system.service.received <= 2 + 12
        await asyncio.sleep(38)
        assert system.windows() == _windows(0, 10)

    _play(scenario)


def test_report_is_not_repeated_without_a_lease():
    async def scenario(system):
        await asyncio.sleep(16)
        system.service.fault = Fault.THROTTLED
        await asyncio.sleep(2.5)
        system.a.store.is_cut_off = True
        system.b.kill()
        await asyncio.sleep(_LEASE_S)
        received = system.service.received
        await asyncio.sleep(3)
        assert system.service.received == received > 1

    _play(scenario)


def test_platform_is_away_for_too_long():
    async def scenario(system):
        await asyncio.sleep(16)
        system.service.fault = Fault.THROTTLED
        await asyncio.sleep(16)
        system.service.fault = Fault.NONE
        await asyncio.sleep(28)
        assert system.windows() == [*_windows(0, 1), *_windows(4, 10)]
        assert system.a.reasons() == ["throttled", "throttled"]

    _play(scenario)
