"""Applying records to the log state, the record codec, and edits."""

from __future__ import annotations

import attrs
import pytest

from magnoliacrank.model import configuration
from magnoliacrank.model import crew
from magnoliacrank.model import move
from magnoliacrank.state import codec
from magnoliacrank.state import edit as edit_lib
from magnoliacrank.state import fold
from magnoliacrank.state import log_state
from magnoliacrank.state import records

IN = configuration.DataCentreState.IN
OUT = configuration.DataCentreState.OUT


def service_edit(version, deadline_s=None, name="s"):
    plan = configuration.ServicePlan(name, version, ("d",), (), deadline_s)
    return edit_lib.Edit(services=(edit_lib.ServiceEdit("c", plan),))


def edit_record(base, edit=None):
    return records.EditRecord(base, edit or service_edit("1"))


def term(holder="i", based_on=-1, incarnation=1):
    return records.TermRecord("moves", holder, incarnation, based_on)


def crew_record(based_on, instance_id="i"):
    member = crew.CrewMember(instance_id, 1, "d")
    return records.CrewRecord("s", based_on, (member,), {"b": {"i": 4}})


def step(number, phase=move.Phase.RUNNING, move_id="s@2", share=0.1):
    return records.MoveRecord("s", move_id, number, phase, {"r": share})


def fold_all(*items):
    """Applies records, or whole entries, in order to an empty state."""
    state = log_state.LogState()
    for offset, item in enumerate(items):
        entry = item
        if not isinstance(item, records.Entry):
            entry = records.Entry(f"id{offset}", item)
        state = fold.fold(state, offset, entry)
    return state


def without_bookkeeping(state):
    """Clears what every record changes, also one without other effect."""
    return attrs.evolve(state, next_offset=0, append_ids={}, refused=())


MOVING = (edit_record(0), edit_record(1, service_edit("2")))


@pytest.mark.parametrize(
    ("history", "late"),
    [
        pytest.param((edit_record(0),), edit_record(0), id="stale-edit"),
        pytest.param((), crew_record(7), id="crew-on-unknown-crew"),
        pytest.param(
            (crew_record(-1),), crew_record(-1, "j"), id="crew-on-stale-crew"
        ),
        pytest.param((term(),), term("j"), id="term-on-stale-term"),
        pytest.param((*MOVING, step(1)), step(1, share=0.9), id="step-again"),
        pytest.param(MOVING, step(2), id="step-left-out"),
        pytest.param(MOVING, step(1, move_id="s@1"), id="step-of-other-move"),
        pytest.param(
            (*MOVING, step(1, move.Phase.TAKEN_BACK)),
            step(2),
            id="step-after-taken-back",
        ),
        pytest.param((), step(1), id="step-without-move"),
        pytest.param(
            (records.NoticeRecord("n", "a"),),
            records.NoticeRecord("n", "b"),
            id="notice-again",
        ),
        pytest.param(
            (records.DepartureRecord("i", 2),),
            records.DepartureRecord("i", 1),
            id="departure-of-older-life",
        ),
        pytest.param(
            (), records.ClaimRecord("c", "s", "k", b"", "i", 1), id="claim"
        ),
    ],
)
def test_stale_record_changes_nothing(history, late):
    before = fold_all(*history)
    after = fold_all(*history, late)
    assert after.next_offset == before.next_offset + 1
    assert without_bookkeeping(after) == without_bookkeeping(before)


@pytest.mark.parametrize(
    "record",
    [
        edit_record(0),
        term(),
        crew_record(-1),
        records.NoticeRecord("n", "a"),
        records.DepartureRecord("i", 1),
        records.SnapshotRecord(log_state.LogState(next_offset=3)),
    ],
)
def test_repeated_append_changes_nothing(record):
    once = fold_all(record)
    entry = records.Entry("id0", record)
    twice = fold.fold(once, 1, entry)
    assert twice == attrs.evolve(once, next_offset=2)
    assert once != log_state.LogState(next_offset=1)


@pytest.mark.parametrize(
    ("number", "is_folded"), [(0, False), (1, True), (7, False)]
)
def test_record_is_applied_only_under_the_current_term(number, is_folded):
    notice = records.Entry(
        "x", records.NoticeRecord("n", "a"), records.Fence("moves", number)
    )
    state = fold_all(term("i"), term("j", based_on=0), notice)
    assert bool(state.notices) == is_folded


def test_renewed_term_keeps_its_number():
    state = fold_all(term("i"), term("i", based_on=0))
    assert state.terms["moves"].number == 0
    assert state.terms["moves"].renewed_at == 1


def test_new_incarnation_of_holder_starts_a_new_term():
    state = fold_all(term("i"), term("i", based_on=0, incarnation=2))
    assert state.terms["moves"].number == 1


@pytest.mark.parametrize(
    ("history", "phases", "serving"),
    [
        pytest.param((edit_record(0),), [], "1", id="first-version"),
        pytest.param(MOVING, [], "1", id="moving"),
        pytest.param(
            (*MOVING, step(1, move.Phase.DONE)), ["done"], "2", id="done"
        ),
        pytest.param(
            (*MOVING, step(1, move.Phase.TAKEN_BACK)),
            ["taken-back"],
            "1",
            id="taken-back",
        ),
        pytest.param(
            (*MOVING, edit_record(2, service_edit("1"))),
            ["superseded"],
            "1",
            id="edited-back",
        ),
        pytest.param(
            (*MOVING, edit_record(2, service_edit("3"))),
            ["superseded"],
            "1",
            id="edited-on",
        ),
        pytest.param(
            (*MOVING, edit_record(2, service_edit("2", 9.0))),
            [],
            "1",
            id="other-deadline",
        ),
        pytest.param(
            (*MOVING, edit_record(2, edit_lib.Edit(removed_services=("s",)))),
            ["superseded"],
            None,
            id="service-removed",
        ),
        pytest.param(
            (
                *MOVING,
                step(1, move.Phase.TAKEN_BACK),
                edit_record(2, service_edit("2", 9.0)),
                step(1, move.Phase.DONE, move_id="s@3"),
            ),
            ["taken-back", "done"],
            "2",
            id="asked-again-after-taken-back",
        ),
        pytest.param(
            (
                *MOVING,
                step(1, move.Phase.TAKEN_BACK),
                edit_record(2, edit_lib.Edit(data_centres={"d": OUT})),
                step(1, move.Phase.DONE, move_id="s@3"),
            ),
            ["taken-back"],
            "1",
            id="other-edit-after-taken-back",
        ),
    ],
)
def test_edits_and_steps_determine_moves_and_serving_version(
    history, phases, serving
):
    state = fold_all(*history)
    assert [n.move.phase.value for n in state.notices] == phases
    assert state.serving_version("s") == serving
    assert len({n.notice_id for n in state.notices}) == len(phases)


def test_tables_are_bounded_in_size():
    state = log_state.LogState()
    for offset in range(3000):
        for index, record in enumerate(
            (
                records.NoticeRecord(f"n{offset}", "x"),
                records.DepartureRecord(f"i{offset}", 1),
                edit_record(offset, edit_lib.Edit(data_centres={"d": OUT})),
                edit_record(-1),
            )
        ):
            entry = records.Entry(f"{index}-{offset}", record)
            state = fold.fold(state, offset, entry)
    assert state.version == 3000
    assert len(state.notices) == 256
    assert len(state.accepted) == len(state.refused) == 256
    assert len(state.append_ids) == 1024
    assert len(state.departures) == 512


@pytest.mark.parametrize(
    "record",
    [
        edit_record(0),
        term(),
        crew_record(-1),
        step(1),
        records.NoticeRecord("n", "a"),
        records.DepartureRecord("i", 1),
        records.ClaimRecord("c", "s", "k", b"\xff\x00", "i", 1),
        records.SnapshotRecord(fold_all(*MOVING, step(1), crew_record(-1))),
    ],
)
def test_codec_round_trips_every_kind(record):
    entry = records.Entry("x", record, records.Fence("moves", 3))
    assert codec.decode(codec.encode(entry)) == entry


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"", codec.CorruptRecordError),
        (b"\xff", codec.CorruptRecordError),
        (b'{"kind":"edit","id":"x","body":{}}', codec.CorruptRecordError),
        (b'{"kind":"later","id":"x","body":{}}', codec.UnknownKindError),
    ],
)
def test_codec_rejects_malformed_and_unknown_records(data, error):
    with pytest.raises(error):
        codec.decode(data)


def test_codec_ignores_fields_of_later_versions():
    data = (
        b'{"kind":"notice","id":"x","later":1,'
        b'"body":{"notice_id":"n","text":"t","later":2}}'
    )
    assert codec.decode(data).record == records.NoticeRecord("n", "t")


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (edit_lib.Edit(), service_edit("1")),
        (service_edit("1"), service_edit("2")),
        (
            service_edit("1"),
            edit_lib.Edit(
                data_centres={"d": IN},
                allowances=(configuration.Allowance("c", 1.0, 1, 0.1),),
            ),
        ),
        (service_edit("1", name="t"), service_edit("1")),
    ],
)
def test_applying_the_difference_gives_the_new_configuration(old, new):
    empty = configuration.Configuration()
    before = edit_lib.apply(empty, old)
    after = edit_lib.apply(empty, new)
    change = edit_lib.difference(before, after)
    assert edit_lib.apply(before, change) == after
    assert edit_lib.difference(after, after).is_empty
