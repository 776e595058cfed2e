"""Random histories of a store that comes back older, on virtual time.

Two views read the store, at times by a listing. All but the first fetch from
random views. Authors write lost records again a little later, some never.
"""

import random

import pytest

from magnoliacrank.entry import peer_records
from magnoliacrank.entry import service_handlers
from magnoliacrank.entry import site_view
from magnoliacrank.entry import view_updater
from magnoliacrank.platform import store_client
from magnoliacrank.platform import store_records

KEYS = [f"evacuate/{letter}" for letter in "abcdef"]
STEP_S = 0.25


class _Log:
    def event(self, name, **fields):
        pass

    warning = event


class _States:
    async def load_states(self):
        return True

    def adopt_states(self, rows):
        pass

    def states(self):
        return []


class _Reader:
    verified_s = 0.0
    is_between_eras = False


class _Store:
    """One keyed topic for operators and an empty one for servers."""

    def __init__(self):
        self.era = 1
        self.records = []

    def put(self, key, value):
        self.records.append((key, value))

    def rewind(self, end):
        lost = self.records[end:]
        del self.records[end:]
        self.era += 1
        return lost

    def newest(self):
        found = {}
        for offset, (key, value) in enumerate(self.records):
            found[key] = store_records.KeyedRecord(key, value, offset, self.era)
        return {key: item for key, item in found.items() if item.value}


class _Instance:
    def __init__(self, world):
        self.world = world
        self.view = site_view.SiteView(_Log(), world.clock)
        self.updater = view_updater.ViewUpdater(
            self.view, _States(), _Log(), world.clock
        )
        self.handler = service_handlers.PeerHandler(
            self.view, _Reader(), _States(), None, None, world.clock
        )

    async def read_store(self, *, has_expired=False):
        store, view = self.world.store, self.view.operators
        if view.next_offset and view.era == store.era and not has_expired:
            records = tuple(
                store_records.KeyedRecord(key, value, offset, store.era)
                for offset, (key, value) in enumerate(store.records)
                if offset >= view.next_offset
            )
            end = len(store.records)
            page = store_records.RecordPage(records, end, end, 0, store.era)
            await self.updater.merge_page(view, page)
        else:
            await self.updater.merge_listing(
                view,
                store_client.NewestRecords(
                    tuple(store.newest().values()),
                    len(store.records),
                    store.era,
                ),
            )
            await self.updater.merge_listing(
                self.view.servers, store_client.NewestRecords((), 0, store.era)
            )

    async def read_peer(self, other):
        seen = (self.view.operators.seen[1], self.view.servers.seen[1])
        target = (
            f"/records?operators={seen[0]}&servers={seen[1]}"
            f"&era={self.view.era}"
        )
        found = peer_records.decode(other.handler._records(target))
        found.verified_age_ms = 0
        await self.updater.merge_peer_records(found, self.world.now_s)


class _World:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.store = _Store()
        self.instances = [_Instance(self) for _ in range(4)]
        self.unwritten = []

    def clock(self):
        return self.now_s

    async def step(self, *, is_quiet):
        rng = self.rng
        self.now_s += STEP_S
        if self.unwritten and rng.random() < 0.5:
            self.store.put(*self.unwritten.pop(0))
        if not is_quiet and rng.random() < 0.4:
            value = rng.choice([b"{}", b'{"x":1}', None])
            self.store.put(rng.choice(KEYS), value)
        if not is_quiet and rng.random() < 0.04:
            end = max(len(self.store.records) - rng.randrange(8), 0)
            lost = self.store.rewind(end)
            self.unwritten = [item for item in lost if rng.random() < 0.8]
        if rng.random() < 0.8:
            reader = self.instances[rng.random() < 0.2]
            await reader.read_store(has_expired=rng.random() < 0.1)
        for instance in self.instances[1:]:
            if rng.random() < 0.6:
                await instance.read_peer(rng.choice(self.instances))
            instance.updater.settle()
        self.instances[0].updater.settle()


@pytest.mark.parametrize("seed", range(100))
async def test_all_views_agree_with_the_store_in_the_end(seed):
    world = _World(seed)
    for _ in range(200):
        await world.step(is_quiet=False)
    for _ in range(100):
        await world.step(is_quiet=True)
    newest = {key: item.value for key, item in world.store.newest().items()}
    assert world.store.era > 1
    for instance in world.instances:
        found = instance.view.operators.values()
        assert {key: item.value for key, item in found.items()} == newest
        assert instance.view.evacuated == {key[9:] for key in newest}
        assert not instance.view.operators.held
