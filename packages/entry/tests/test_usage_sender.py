"""Messages with counts: when they are sent, to whom, and when repeated."""

import asyncio
import random
import types

from magnoliacrank.entry import usage_counter
from magnoliacrank.entry import usage_messages
from magnoliacrank.entry import usage_sender
from magnoliacrank.policy import usage_windows
from magnoliacrank.standins import virtual_time

_WINDOW_S = 5.0
_START_S = 1_700_000_000.0
_FIRST = int(_START_S / _WINDOW_S)


class _System:
    """Recipients of one sender; it records what each accepts."""

    def __init__(self):
        self.names = ["b", "c"]
        self.is_down = False
        self.sent = []
        self.messages = 0
        self.own = types.SimpleNamespace(node="a")
        clock = asyncio.get_running_loop().time
        self.counter = usage_counter.UsageCounter(
            _WINDOW_S,
            10.0,
            clock,
            is_enabled=True,
            time_of_day=lambda: _START_S + clock(),
        )
        self.ledger = usage_windows.UsageLedger(self.counter.kept_windows)
        self.sender = usage_sender.UsageSender(
            usage_windows.Source("a", 1),
            self.counter,
            self.ledger,
            self,
            self,
            None,
            random.Random(1),
        )

    def mesh(self, now_s):
        return types.SimpleNamespace(
            duty_ranking=tuple(self.names),
            members={
                name: types.SimpleNamespace(node=name, ip=name, incarnation=1)
                for name in self.names
            },
        )

    async def post(self, ip, path, content):
        self.messages += 1
        if self.is_down:
            return False
        for item in usage_messages.decode_push(content).windows:
            total = sum(item.counts.values())
            row = (ip, item.window - _FIRST, item.is_final, total)
            self.sent.append(row)
        return True


def _play(scenario):
    async def main():
        system = _System()
        await system.sender.start()
        await scenario(system)
        await system.sender.close()

    virtual_time.run(main())


def test_counts_are_sent_in_the_middle_and_at_the_end_of_a_window():
    async def scenario(system):
        system.counter.add("huka")
        await asyncio.sleep(4)
        system.counter.add("huka")
        await asyncio.sleep(20)
        assert [row[1:] for row in system.sent if row[0] == "b"] == [
            (0, False, 1),
            (0, True, 2),
            (1, True, 0),
        ]
        assert system.messages == 6
        assert system.ledger.totals(_FIRST) == {"huka": 2}

    _play(scenario)


def test_instance_without_counts_sends_nothing():
    async def scenario(system):
        await asyncio.sleep(20)
        assert system.messages == 0
        assert system.ledger.first_window is None

    _play(scenario)


def test_message_is_repeated_until_it_is_accepted():
    async def scenario(system):
        system.counter.add("huka")
        system.is_down = True
        await asyncio.sleep(7.5)
        assert 4 < system.messages < 20
        system.is_down = False
        await asyncio.sleep(2)
        assert ("b", 0, True, 1) in system.sent
        assert ("c", 0, True, 1) in system.sent

    _play(scenario)


def test_new_recipient_gets_the_recent_windows():
    async def scenario(system):
        system.counter.add("huka")
        await asyncio.sleep(9)
        system.names = ["d", "b"]
        await asyncio.sleep(0.5)
        assert [row for row in system.sent if row[0] == "d"] == [
            ("d", 0, True, 1)
        ]

    _play(scenario)


def test_correction_and_last_counts_are_sent():
    async def scenario(system):
        window = system.counter.add("huka")
        system.counter.add("huka")
        await asyncio.sleep(6.5)
        system.counter.withdraw("huka", window)
        system.counter.add("puhu")
        await asyncio.sleep(2)
        assert ("b", 0, True, 1) in system.sent
        await system.sender.close()
        assert system.sent[-1][1:] == (1, True, 1)

    _play(scenario)
