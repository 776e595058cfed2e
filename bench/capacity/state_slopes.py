"""Prints the cost of the state that is folded from the log.

The figures are processor time, bytes and memory, per record and by size.

Run by: python -m bench.capacity.state_slopes
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from magnoliacrank.model import configuration
from magnoliacrank.model import crew
from magnoliacrank.model import ids
from magnoliacrank.model import move
from magnoliacrank.model import request
from magnoliacrank.policy import rollout
from magnoliacrank.state import codec
from magnoliacrank.state import edit
from magnoliacrank.state import fold
from magnoliacrank.state import log_state
from magnoliacrank.state import records

if TYPE_CHECKING:
    from collections.abc import Callable

_SERVERS = 790
_SERVICES = 28
_ROUTES_PER_SERVICE = 5
_MEMBERS_PER_CREW = 8
_SLOTS_PER_SERVER = 4
_REPEATS = 400
_SAMPLES = 20_000
_EDITS_PER_DAY = 2_900
_CREW_RECORDS_PER_DAY = 300
_TERM_RENEWALS_PER_DAY = 13_000
_MOVE_RECORDS_PER_DAY = 500


def main() -> None:
    """Prints the costs of records, snapshots, memory and moves."""
    state = _build_state(_SERVICES, _SERVERS)
    print(f"{'record':<12}{'bytes':>8}{'decode us':>12}{'fold us':>10}")
    day_us = day_bytes = 0.0
    for name, record, per_day in _build_sample_records(state):
        data = codec.encode(records.Entry("0123456789abcdef", record))
        decode_us = _time_us(lambda data=data: codec.decode(data))
        fold_us = _time_fold_us(state, record)
        print(f"{name:<12}{len(data):>8}{decode_us:>12.1f}{fold_us:>10.1f}")
        day_us += per_day * (decode_us + fold_us)
        day_bytes += per_day * len(data)
    print(f"records of a day: {day_bytes / 1e6:.1f} MB, {day_us / 1e6:.1f} s")
    _print_snapshot(state)
    _print_memory()
    _print_rollout()


def _build_service_edit(number: int, version: str = "1") -> edit.ServiceEdit:
    routes = tuple(
        configuration.Route(
            f"route-{index}",
            f"/service/route-{index}",
            request.RequestClass.IDEMPOTENT,
            500,
            ("GET",),
        )
        for index in range(_ROUTES_PER_SERVICE)
    )
    plan = configuration.ServicePlan(
        ids.ServiceName(f"service-{number}"),
        ids.SoftwareVersion(version),
        tuple(ids.DataCentre(f"dc-{index}") for index in range(7)),
        routes,
    )
    return edit.ServiceEdit(ids.CustomerId(f"customer-{number % 4}"), plan)


def _build_crew_record(number: int, servers: int) -> records.CrewRecord:
    names = [
        ids.InstanceId(f"entry-{number}-{i}") for i in range(_MEMBERS_PER_CREW)
    ]
    members = tuple(
        crew.CrewMember(
            name, ids.Incarnation(10**18), ids.DataCentre(f"dc-{i % 7}")
        )
        for i, name in enumerate(names)
    )
    shares = {
        ids.ServerId(f"server-{number}-{index}"): {
            names[(index + slot) % _MEMBERS_PER_CREW]: 1
            for slot in range(_SLOTS_PER_SERVER)
        }
        for index in range(servers)
    }
    return records.CrewRecord(
        ids.ServiceName(f"service-{number}"), -1, members, shares
    )


def _fold_one(
    state: log_state.LogState, record: records.Record
) -> log_state.LogState:
    # Decoding creates new strings, so memory is used as on an instance.
    data = codec.encode(records.Entry(f"append-{state.next_offset}", record))
    return fold.fold(state, state.next_offset, codec.decode(data))


def _build_state(services: int, servers: int) -> log_state.LogState:
    state = log_state.LogState()
    for number in range(services):
        change = edit.Edit(services=(_build_service_edit(number),))
        state = _fold_one(state, records.EditRecord(number, change))
        share = servers * (number + 1) // services
        share -= servers * number // services
        state = _fold_one(state, _build_crew_record(number, share))
    return state


def _build_full_state() -> log_state.LogState:
    """Returns a state with full tables of append ids and of edits."""
    state = _build_state(_SERVICES, _SERVERS)
    for number in range(1100):
        version = f"{number // _SERVICES}"
        change = edit.Edit(
            services=(_build_service_edit(number % _SERVICES, version),)
        )
        state = _fold_one(state, records.EditRecord(state.version, change))
        state = _fold_one(state, records.EditRecord(0, change))
    return state


def _build_sample_records(
    state: log_state.LogState,
) -> tuple[tuple[str, records.Record, int], ...]:
    change = edit.Edit(services=(_build_service_edit(0),))
    shares = {f"route-{index}": 0.05 for index in range(_ROUTES_PER_SERVICE)}
    holder = ids.InstanceId("entry-0-0")
    incarnation = ids.Incarnation(10**18)
    return (
        ("edit", records.EditRecord(state.version, change), _EDITS_PER_DAY),
        (
            "crew",
            _build_crew_record(0, _SERVERS // _SERVICES),
            _CREW_RECORDS_PER_DAY,
        ),
        (
            "term",
            records.TermRecord("moves", holder, incarnation, -1),
            _TERM_RENEWALS_PER_DAY,
        ),
        (
            "move",
            records.MoveRecord(
                ids.ServiceName("service-0"),
                "service-0@1",
                1,
                move.Phase.RUNNING,
                shares,
            ),
            _MOVE_RECORDS_PER_DAY,
        ),
        (
            "claim",
            records.ClaimRecord(
                ids.CustomerId("customer-0"),
                ids.ServiceName("service-0"),
                ids.RequestKey("0123456789abcdef"),
                bytes(16),
                holder,
                incarnation,
            ),
            0,
        ),
    )


def _time_us(action: Callable[[], object]) -> float:
    begun = time.process_time()
    for _ in range(_REPEATS):
        action()
    return (time.process_time() - begun) / _REPEATS * 1e6


def _time_fold_us(state: log_state.LogState, record: records.Record) -> float:
    entry = records.Entry("0123456789abcdef", record)
    return _time_us(lambda: fold.fold(state, state.next_offset, entry))


def _print_snapshot(state: log_state.LogState) -> None:
    for name, each in (("young", state), ("full", _build_full_state())):
        data = codec.encode_state(each)
        encode_ms = _time_us(lambda each=each: codec.encode_state(each)) / 1e3
        decode_ms = _time_us(lambda data=data: codec.decode_state(data)) / 1e3
        print(
            f"snapshot, {name} fold: {len(data)} bytes, "
            f"encode {encode_ms:.2f} ms, decode {decode_ms:.2f} ms"
        )


def _memory_bytes(build: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used


def _print_memory() -> None:
    half_servers = _memory_bytes(lambda: _build_state(_SERVICES, _SERVERS // 2))
    large = _memory_bytes(lambda: _build_state(_SERVICES, _SERVERS))
    double_services = _memory_bytes(
        lambda: _build_state(2 * _SERVICES, _SERVERS)
    )
    full = _memory_bytes(_build_full_state)
    per_server = (large - half_servers) / (_SERVERS - _SERVERS // 2)
    per_service = (double_services - large) / _SERVICES
    print(
        f"memory: {per_server:.0f} bytes per upstream, "
        f"{per_service:.0f} bytes per service, "
        f"young fold {large / 1e6:.2f} MB, "
        f"full fold {full / 1e6:.2f} MB"
    )


def _build_tracker() -> rollout.RolloutTracker:
    return rollout.RolloutTracker(
        move.Move(
            "service-0@2",
            ids.ServiceName("service-0"),
            ids.SoftwareVersion("1"),
            ids.SoftwareVersion("2"),
            None,
        ),
        tuple(f"route-{index}" for index in range(_ROUTES_PER_SERVICE)),
        origin=ids.InstanceId("entry-0-0"),
        incarnation=ids.Incarnation(1),
        now_s=0.0,
    )


def _print_rollout() -> None:
    tracker = _build_tracker()
    version = ids.SoftwareVersion("1")
    begun = time.process_time()
    for index in range(_SAMPLES):
        tracker.on_sample("route-0", version, 0.001 * (index % 7), True)
    sample_us = (time.process_time() - begun) / _SAMPLES * 1e6
    for number in range(_ROUTES_PER_SERVICE):
        for index in range(200):
            sample_version = ids.SoftwareVersion("12"[index % 20 == 0])
            route = f"route-{number}"
            tracker.on_sample(
                route, sample_version, 0.001 * (index % 7), index % 50 > 0
            )
    begun = time.process_time()
    tracker.on_tick()
    tick_us = (time.process_time() - begun) * 1e6
    evidence = tracker.take_evidence()
    size = 0 if evidence is None else len(_encode_evidence(evidence))
    memory = _memory_bytes(_build_tracker)
    print(
        f"move: {sample_us:.2f} us per sample, {tick_us:.0f} us per tick and "
        f"{size} bytes of evidence per tick with {_ROUTES_PER_SERVICE} routes, "
        f"{memory} bytes per tracker"
    )


def _encode_evidence(evidence: object) -> bytes:
    return msgspec.json.encode(evidence)


if __name__ == "__main__":
    main()
