"""Tests of background tasks that are restarted after exceptions."""

import asyncio
import itertools

import pytest

from magnoliacrank.entry import event_log
from magnoliacrank.entry import owned_task
from magnoliacrank.standins import virtual_time


class Log:
    """Records the failures that are logged."""

    def __init__(self):
        self.failures = []

    def warning(self, name, **fields):
        assert name == "task failed"
        self.failures.append((fields["task"], fields["error"]))


async def _run_with_faults(faults):
    log = Log()
    runs = []

    async def run():
        runs.append(asyncio.get_running_loop().time())
        if len(runs) <= faults:
            raise ValueError(len(runs))
        await asyncio.sleep(3600)

    task = owned_task.spawn_loop(run, "reader", log)
    await asyncio.sleep(60)
    await owned_task.stop(task)
    assert task.cancelled()
    return runs, log.failures


@pytest.mark.parametrize("faults", [0, 1, 3])
def test_failed_loop_is_restarted_and_logged(faults):
    runs, failures = virtual_time.run(_run_with_faults(faults))
    assert len(runs) == faults + 1
    assert [name for name, _ in failures] == ["reader"] * faults
    assert all(later > first for first, later in itertools.pairwise(runs))


async def test_failures_of_loops_are_counted():
    log = event_log.EventLog("n", "a", lambda: 0.0)
    runs = []

    async def run():
        runs.append(1)
        raise ValueError

    task = owned_task.spawn_loop(run, "reader", log)
    await asyncio.sleep(0)
    await asyncio.sleep(0.01)
    await owned_task.stop(task)
    assert log.warning_count(owned_task.FAILURE_EVENT) == len(runs) == 1


async def test_finished_loop_ends_without_a_log_line():
    log = Log()

    async def run():
        return

    task = owned_task.spawn_loop(run, "announcer", log)
    await task
    assert not log.failures


async def test_reader_continues_after_an_exception(site, monkeypatch):
    """Guards against a view that stays stale after its reader failed."""
    await site.add_backend("s1")
    instance = await site.add_instance()
    await site.ready()
    original = instance._reader._next_source
    faults = iter([RuntimeError("fault")])

    def fail_once(now_s):
        for fault in faults:
            raise fault
        return original(now_s)

    monkeypatch.setattr(instance._reader, "_next_source", fail_once)
    await site.add_backend("s2")
    await site.until(lambda: instance._view.entry("s2"))
    assert "task failed" in site.logs[0].names()
