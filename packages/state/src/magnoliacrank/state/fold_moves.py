"""Applies log records that start, advance or end moves.

A move is the rollout of a new software version of one service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliacrank.model import move
from magnoliacrank.state import log_state

if TYPE_CHECKING:
    from magnoliacrank.model import configuration
    from magnoliacrank.model import ids
    from magnoliacrank.state import edit as edit_lib
    from magnoliacrank.state import records


def on_edit(
    before: log_state.LogState,
    after: log_state.LogState,
    offset: ids.LogOffset,
    change: edit_lib.Edit,
) -> log_state.LogState:
    """Starts, changes and ends moves as an accepted edit requires.

    Args:
        before: State before the edit.
        after: State with the new configuration, but with the moves of `before`.
        offset: Offset of the edit's record.
        change: The accepted edit.

    Returns:
        The `after` state with its moves, crews and notices updated.
    """
    state = after
    for name in change.removed_services:
        state = _remove_service(state, offset, name)
    for each in change.services:
        found = before.configuration.find_service(each.plan.name)
        if found is not None:
            state = _apply_plan(before, state, offset, found[1], each.plan)
    return state


def on_move(
    state: log_state.LogState,
    offset: ids.LogOffset,
    record: records.MoveRecord,
) -> log_state.LogState:
    """Applies one step of a move.

    Returns:
        The new state; the same state when the record is for a move that has
        ended or is not the service's newest, or its step number is not the
        next one.
    """
    current = state.moves.get(record.service)
    if current is None or current.move_id != record.move_id:
        return state
    if current.phase.is_final or record.step != current.step + 1:
        return state
    stepped = attrs.evolve(
        current,
        step=record.step,
        phase=record.phase,
        route_shares=record.route_shares,
        reason=record.reason,
        route=record.route,
    )
    return _replace_move(state, offset, stepped)


def _apply_plan(
    before: log_state.LogState,
    state: log_state.LogState,
    offset: ids.LogOffset,
    old: configuration.ServicePlan,
    new: configuration.ServicePlan,
) -> log_state.LogState:
    is_target_unchanged = (
        old.version == new.version
        and old.move_deadline_s == new.move_deadline_s
    )
    if is_target_unchanged:
        return state
    current = before.moves.get(new.name)
    served_version = before.serving_version(new.name)
    if current is not None and not current.phase.is_final:
        if current.new_version == new.version:
            return _change_deadline(state, current, new.move_deadline_s)
        state = _replace_move(state, offset, _superseded(current))
    if served_version is None or served_version == new.version:
        return state
    started = move.Move(
        move_id=f"{new.name}@{state.version}",
        service=new.name,
        old_version=served_version,
        new_version=new.version,
        deadline_s=new.move_deadline_s,
    )
    return _replace_move(state, offset, started)


def _superseded(current: move.Move) -> move.Move:
    return attrs.evolve(
        current,
        phase=move.Phase.SUPERSEDED,
        reason=move.Reason.EDITED,
        route_shares={},
    )


def _change_deadline(
    state: log_state.LogState, current: move.Move, deadline_s: float | None
) -> log_state.LogState:
    changed = attrs.evolve(current, deadline_s=deadline_s)
    return attrs.evolve(state, moves={**state.moves, current.service: changed})


def _replace_move(
    state: log_state.LogState, offset: ids.LogOffset, changed: move.Move
) -> log_state.LogState:
    moves = {**state.moves, changed.service: changed}
    if not changed.phase.is_final:
        return attrs.evolve(state, moves=moves)
    notice = log_state.Notice(
        notice_id=f"{changed.move_id}:{changed.phase.value}",
        offset=offset,
        text=_notice_text(changed),
        move=changed,
    )
    return attrs.evolve(state, moves=moves, notices=(*state.notices, notice))


def _remove_service(
    state: log_state.LogState, offset: ids.LogOffset, service: ids.ServiceName
) -> log_state.LogState:
    current = state.moves.get(service)
    if current is not None and not current.phase.is_final:
        state = _replace_move(state, offset, _superseded(current))
    moves = dict(state.moves)
    moves.pop(service, None)
    crews = dict(state.crews)
    crews.pop(service, None)
    return attrs.evolve(state, moves=moves, crews=crews)


_NOTICE_TEXTS = {
    move.Phase.DONE: "{service}: move from {old} to {new} is done",
    move.Phase.TAKEN_BACK: (
        "{service}: move from {old} to {new} was taken back ({reason}{route})"
    ),
    move.Phase.SUPERSEDED: (
        "{service}: move from {old} to {new} was ended by a later edit"
    ),
}


def _notice_text(ended: move.Move) -> str:
    return _NOTICE_TEXTS[ended.phase].format(
        service=ended.service,
        old=ended.old_version,
        new=ended.new_version,
        reason=ended.reason.value,
        route=f" on route {ended.route}" if ended.route else "",
    )
