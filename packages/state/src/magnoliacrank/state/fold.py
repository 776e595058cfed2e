"""Applies log records to the log state, one at a time.

The functions are pure and deterministic, so every instance that has applied the
same records holds the same state.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import TypeVar

import attrs

from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.state import edit as edit_lib
from magnoliacrank.state import fold_moves
from magnoliacrank.state import log_state
from magnoliacrank.state import records

_MAX_APPEND_IDS = 1024
_MAX_EDITS = 256
_MAX_NOTICES = 256
_MAX_DEPARTURES = 512

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")
_FoldFunction = Callable[
    [log_state.LogState, ids.LogOffset, records.Entry, Any],
    log_state.LogState,
]


def fold(
    state: log_state.LogState, offset: ids.LogOffset, entry: records.Entry
) -> log_state.LogState:
    """Applies one record to the log state.

    Args:
        state: State after all records before the offset.
        offset: Offset of the record in the log.
        entry: The record with its append id and fence.

    Returns:
        The new state, whose next offset is one beyond the record. Nothing else
        changes for a claim, for an append id that was already applied, and for
        a record whose fence is not the current term of its job.
    """
    if isinstance(entry.record, records.ClaimRecord):
        return skip(state, offset)
    if entry.append_id in state.append_ids or _is_fenced_off(state, entry):
        return skip(state, offset)
    fold_record = _FOLD_FUNCTIONS[type(entry.record)]
    folded = fold_record(state, offset, entry, entry.record)
    return attrs.evolve(
        folded,
        next_offset=ids.LogOffset(offset + 1),
        append_ids=_put_bounded(
            folded.append_ids, entry.append_id, offset, _MAX_APPEND_IDS
        ),
    )


def skip(
    state: log_state.LogState, offset: ids.LogOffset
) -> log_state.LogState:
    """Advances the next offset past a record without applying it."""
    return attrs.evolve(state, next_offset=ids.LogOffset(offset + 1))


def _is_fenced_off(state: log_state.LogState, entry: records.Entry) -> bool:
    if entry.fence is None:
        return False
    term = state.terms.get(entry.fence.job)
    return term is None or term.number != entry.fence.number


def _fold_edit(
    state: log_state.LogState,
    offset: ids.LogOffset,
    entry: records.Entry,
    record: records.EditRecord,
) -> log_state.LogState:
    if record.base_version != state.version:
        refused = log_state.RefusedEdit(
            append_id=entry.append_id,
            base_version=record.base_version,
            version=state.version,
            offset=offset,
        )
        return attrs.evolve(
            state, refused=(*state.refused, refused)[-_MAX_EDITS:]
        )
    accepted = log_state.AcceptedEdit(
        version=state.version + 1,
        append_id=entry.append_id,
        author=record.author,
        offset=offset,
        changes=record.edit.changes(),
    )
    edited = attrs.evolve(
        state,
        version=accepted.version,
        configuration=edit_lib.apply(state.configuration, record.edit),
        accepted=(*state.accepted, accepted)[-_MAX_EDITS:],
    )
    return _bound_notices(
        fold_moves.on_edit(state, edited, offset, record.edit)
    )


def _fold_crew(
    state: log_state.LogState,
    offset: ids.LogOffset,
    _: records.Entry,
    record: records.CrewRecord,
) -> log_state.LogState:
    current = state.crews.get(record.service)
    number = -1 if current is None else current.number
    if record.based_on != number:
        return state
    new_crew = crew.Crew(
        service=record.service,
        number=offset,
        members=record.members,
        shares=record.shares,
        based_on=record.based_on,
    )
    return attrs.evolve(state, crews={**state.crews, record.service: new_crew})


def _fold_term(
    state: log_state.LogState,
    offset: ids.LogOffset,
    _: records.Entry,
    record: records.TermRecord,
) -> log_state.LogState:
    current = state.terms.get(record.job)
    number = -1 if current is None else current.number
    if record.based_on != number:
        return state
    if current is not None and _is_renewal(current, record):
        term = attrs.evolve(current, renewed_at=offset)
    else:
        term = log_state.Term(
            job=record.job,
            number=offset,
            holder=record.holder,
            incarnation=record.incarnation,
            renewed_at=offset,
        )
    return attrs.evolve(state, terms={**state.terms, record.job: term})


def _is_renewal(current: log_state.Term, record: records.TermRecord) -> bool:
    return (
        current.holder == record.holder
        and current.incarnation == record.incarnation
    )


def _fold_move(
    state: log_state.LogState,
    offset: ids.LogOffset,
    _: records.Entry,
    record: records.MoveRecord,
) -> log_state.LogState:
    return _bound_notices(fold_moves.on_move(state, offset, record))


def _fold_notice(
    state: log_state.LogState,
    offset: ids.LogOffset,
    _: records.Entry,
    record: records.NoticeRecord,
) -> log_state.LogState:
    if any(each.notice_id == record.notice_id for each in state.notices):
        return state
    notice = log_state.Notice(record.notice_id, offset, record.text)
    return _bound_notices(attrs.evolve(state, notices=(*state.notices, notice)))


def _fold_departure(
    state: log_state.LogState,
    _: ids.LogOffset,
    __: records.Entry,
    record: records.DepartureRecord,
) -> log_state.LogState:
    known = state.departures.get(record.instance_id)
    if known is not None and known >= record.incarnation:
        return state
    departures = _put_bounded(
        state.departures,
        record.instance_id,
        record.incarnation,
        _MAX_DEPARTURES,
    )
    return attrs.evolve(state, departures=departures)


def _fold_snapshot(
    state: log_state.LogState,
    offset: ids.LogOffset,
    _: records.Entry,
    record: records.SnapshotRecord,
) -> log_state.LogState:
    covers = record.state.next_offset
    if covers <= state.snapshot_covers:
        return state
    return attrs.evolve(state, snapshot_offset=offset, snapshot_covers=covers)


def _bound_notices(state: log_state.LogState) -> log_state.LogState:
    if len(state.notices) <= _MAX_NOTICES:
        return state
    return attrs.evolve(state, notices=state.notices[-_MAX_NOTICES:])


def _put_bounded(
    table: Mapping[_Key, _Value], key: _Key, value: _Value, limit: int
) -> Mapping[_Key, _Value]:
    changed = dict(table)
    changed.pop(key, None)
    changed[key] = value
    while len(changed) > limit:
        del changed[next(iter(changed))]
    return changed


_FOLD_FUNCTIONS: dict[type[records.Record], _FoldFunction] = {
    records.EditRecord: _fold_edit,
    records.CrewRecord: _fold_crew,
    records.TermRecord: _fold_term,
    records.MoveRecord: _fold_move,
    records.NoticeRecord: _fold_notice,
    records.DepartureRecord: _fold_departure,
    records.SnapshotRecord: _fold_snapshot,
}
