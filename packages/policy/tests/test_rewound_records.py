"""Tables of what stays in force when the store lists older records."""

import random

import attrs
import pytest

from magnoliacrank.model import backend_entry
from magnoliacrank.model import ids
from magnoliacrank.model import instance
from magnoliacrank.model import server
from magnoliacrank.policy import announce_schedule
from magnoliacrank.policy import instance_leases
from magnoliacrank.policy import lost_entries
from magnoliacrank.policy import record_sources
from magnoliacrank.policy import rewound_records

Standing = rewound_records.Standing
Step = announce_schedule.Step

READY = backend_entry.BackendEntry(
    "s1", "svc", "10.0.0.1", 80, "a", "v1", 4, False, 0.0, 100
)
DRAINING = attrs.evolve(READY, is_draining=True)
RESTARTED = attrs.evolve(READY, born_ms=200)
UNSTATED = attrs.evolve(READY, born_ms=None)


@pytest.mark.parametrize(
    ("known", "listed", "standing"),
    [
        (READY, None, Standing.UNCERTAIN),
        (READY, DRAINING, Standing.NEWER),
        (READY, RESTARTED, Standing.NEWER),
        (RESTARTED, READY, Standing.UNCERTAIN),
        (RESTARTED, DRAINING, Standing.UNCERTAIN),
        (READY, attrs.evolve(READY, slots=5), Standing.UNCERTAIN),
        (READY, UNSTATED, Standing.UNCERTAIN),
        (DRAINING, None, Standing.UNCERTAIN),
        (DRAINING, READY, Standing.OLDER),
        (DRAINING, UNSTATED, Standing.OLDER),
        (DRAINING, RESTARTED, Standing.NEWER),
        (None, READY, Standing.OLDER),
    ],
)
def test_entry_of_a_server(known, listed, standing):
    assert rewound_records.judge_server(known, listed) is standing


@pytest.mark.parametrize(
    ("listed", "standing"),
    [
        (None, Standing.OLDER),
        (4, Standing.OLDER),
        (5, Standing.OLDER),
        (6, Standing.NEWER),
    ],
)
def test_configuration_never_reverts(listed, standing):
    assert rewound_records.judge_configuration(5, listed) is standing


def _marks(era, operators):
    return record_sources.RecordOffsets(
        "x", "a", "ip-x", operators, 0, verified_s=0.0, era=era
    )


@pytest.mark.parametrize(
    ("marks", "era", "seen", "is_behind"),
    [
        ([(1, 9)], 2, 3, False),
        ([(2, 3)], 1, 9, True),
        ([(2, 3)], 2, 3, False),
        ([(2, 4)], 2, 3, True),
        ([(1, 9), (2, 3)], 2, 3, False),
        ([(2, 3), (1, 9)], 2, 3, False),
    ],
)
def test_offsets_are_compared_within_an_era(marks, era, seen, is_behind):
    sources = record_sources.RecordSources(
        0.0, reads_store_first=False, capacity=0.4, rng=random.Random(1)
    )
    for item in marks:
        sources.on_offsets(_marks(*item), (seen, 0), 0.0, era)
    assert sources.is_behind((seen, 0), era) is is_behind


@pytest.mark.parametrize(
    ("is_announced", "step"), [(True, Step.ANNOUNCE), (False, Step.NONE)]
)
def test_only_announced_addresses_are_announced_again(is_announced, step):
    schedule = announce_schedule.AnnounceSchedule(0.0, has_seeds=True)
    if is_announced:
        schedule.on_announced()
    schedule.on_store_rewound()
    found = schedule.next_step(10.0, is_alone=False, duty_order=7)
    assert found is step
    schedule.on_announced()
    found = schedule.next_step(11.0, is_alone=False, duty_order=7)
    assert found is Step.NONE


def _announcement(name, offset, era):
    entry = instance.EntryInstance(
        instance_id=ids.InstanceId(name),
        data_centre=ids.DataCentre("a"),
        host="10.0.0.1",
        http_port=1,
        peer_port=2,
        incarnation=ids.Incarnation(1),
    )
    return instance.Announcement(entry, ids.LogOffset(offset), era)


def test_renewal_at_a_lower_offset_of_a_new_era_counts():
    leases = instance_leases.InstanceLeases()
    leases.current([_announcement("e1", 90, 1)], 0.0)
    leases.current([_announcement("e1", 5, 2)], 20.0)
    found = leases.current([_announcement("e1", 6, 2)], 40.0)
    assert len(found) == 1


def _server(name, state=server.ListedState.LIVE):
    return server.BackendServer(
        ids.ServerId(name),
        ids.ServiceName("svc"),
        ids.SoftwareVersion("v1"),
        ids.DataCentre("a"),
        "10.0.0.1",
        80,
        4,
        100,
        state,
    )


def test_entries_that_a_new_era_lacks_stay_for_a_while():
    lost = lost_entries.LostEntries()
    leaving = _server("s2", server.ListedState.LEAVING)
    before = instance.Announcements(
        (_announcement("e1", 9, 1),), (_server("s1"), leaving), 1
    )
    assert lost.complete(before, 0.0) == before
    listed = instance.Announcements((), (_server("s2"),), 2)
    found = lost.complete(listed, 1.0)
    assert found.instances == before.instances
    assert found.servers == before.servers
    assert lost.complete(listed, 4.0).servers == listed.servers
    assert lost.complete(listed, 20.0) == listed


def test_entries_that_go_within_an_era_are_gone_at_once():
    lost = lost_entries.LostEntries()
    lost.complete(instance.Announcements((), (_server("s1"),), 1), 0.0)
    listed = instance.Announcements((), (), 1)
    assert lost.complete(listed, 0.5) == listed
