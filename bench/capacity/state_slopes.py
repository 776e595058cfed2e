"""Slopes of the log's fold: processor time, bytes and memory.

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

_UPSTREAMS = 790
_SERVICES = 28
_ROUTES = 5
_MEMBERS = 8
_SLOTS = 4
_REPEATS = 400
_SAMPLES = 20_000
_EDITS_A_DAY = 2_900
_CREWS_A_DAY = 300
_RENEWALS_A_DAY = 13_000
_STEPS_A_DAY = 500


def main() -> None:
    """Prints the slopes."""
    state = _state(_SERVICES, _UPSTREAMS)
    print(f"{'record':<12}{'bytes':>8}{'decode us':>12}{'fold us':>10}")
    day_us = day_bytes = 0.0
    for name, record, a_day in _records(state):
        data = codec.encode(records.Entry("0123456789abcdef", record))
        decode_us = _time_us(lambda data=data: codec.decode(data))
        fold_us = _time_fold_us(state, record)
        print(f"{name:<12}{len(data):>8}{decode_us:>12.1f}{fold_us:>10.1f}")
        day_us += a_day * (decode_us + fold_us)
        day_bytes += a_day * len(data)
    print(f"records of a day: {day_bytes / 1e6:.1f} MB, {day_us / 1e6:.1f} s")
    _print_snapshot(state)
    _print_memory()
    _print_rollout()


def _service(number: int, version: str = "1") -> edit.ServiceEdit:
    routes = tuple(
        configuration.Route(
            f"route-{index}",
            f"/service/route-{index}",
            request.RequestClass.IDEMPOTENT,
            500,
            ("GET",),
        )
        for index in range(_ROUTES)
    )
    plan = configuration.ServicePlan(
        ids.ServiceName(f"service-{number}"),
        ids.SoftwareVersion(version),
        tuple(ids.DataCentre(f"dc-{index}") for index in range(7)),
        routes,
    )
    return edit.ServiceEdit(ids.CustomerId(f"customer-{number % 4}"), plan)


def _crew(number: int, servers: int) -> records.CrewRecord:
    names = [ids.InstanceId(f"entry-{number}-{i}") for i in range(_MEMBERS)]
    members = tuple(
        crew.CrewMember(
            name, ids.Incarnation(10**18), ids.DataCentre(f"dc-{i % 7}")
        )
        for i, name in enumerate(names)
    )
    shares = {
        ids.ServerId(f"server-{number}-{index}"): {
            names[(index + slot) % _MEMBERS]: 1 for slot in range(_SLOTS)
        }
        for index in range(servers)
    }
    return records.CrewRecord(
        ids.ServiceName(f"service-{number}"), -1, members, shares
    )


def _fold_one(
    state: log_state.LogState, record: records.Record
) -> log_state.LogState:
    # The decoded form has strings of its own, as on an instance.
    data = codec.encode(records.Entry(f"append-{state.next_offset}", record))
    return fold.fold(state, state.next_offset, codec.decode(data))


def _state(services: int, servers: int) -> log_state.LogState:
    state = log_state.LogState()
    for number in range(services):
        change = edit.Edit(services=(_service(number),))
        state = _fold_one(state, records.EditRecord(number, change))
        share = servers * (number + 1) // services
        share -= servers * number // services
        state = _fold_one(state, _crew(number, share))
    return state


def _full_state() -> log_state.LogState:
    """Returns the fold with all its bounded tables full."""
    state = _state(_SERVICES, _UPSTREAMS)
    for number in range(1100):
        version = f"{number // _SERVICES}"
        change = edit.Edit(services=(_service(number % _SERVICES, version),))
        state = _fold_one(state, records.EditRecord(state.version, change))
        state = _fold_one(state, records.EditRecord(0, change))
    return state


def _records(
    state: log_state.LogState,
) -> tuple[tuple[str, records.Record, int], ...]:
    change = edit.Edit(services=(_service(0),))
    shares = {f"route-{index}": 0.05 for index in range(_ROUTES)}
    holder = ids.InstanceId("entry-0-0")
    life = ids.Incarnation(10**18)
    return (
        ("edit", records.EditRecord(state.version, change), _EDITS_A_DAY),
        ("crew", _crew(0, _UPSTREAMS // _SERVICES), _CREWS_A_DAY),
        (
            "term",
            records.TermRecord("moves", holder, life, -1),
            _RENEWALS_A_DAY,
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
            _STEPS_A_DAY,
        ),
        (
            "claim",
            records.ClaimRecord(
                ids.CustomerId("customer-0"),
                ids.ServiceName("service-0"),
                ids.RequestKey("0123456789abcdef"),
                bytes(16),
                holder,
                life,
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
    for name, each in (("young", state), ("full", _full_state())):
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
    small = _memory_bytes(lambda: _state(_SERVICES, _UPSTREAMS // 2))
    large = _memory_bytes(lambda: _state(_SERVICES, _UPSTREAMS))
    double = _memory_bytes(lambda: _state(2 * _SERVICES, _UPSTREAMS))
    full = _memory_bytes(_full_state)
    per_upstream = (large - small) / (_UPSTREAMS - _UPSTREAMS // 2)
    per_service = (double - large) / _SERVICES
    print(
        f"memory: {per_upstream:.0f} bytes per upstream, "
        f"{per_service:.0f} bytes per service, "
        f"young fold {large / 1e6:.2f} MB, "
        f"full fold {full / 1e6:.2f} MB"
    )


def _tracker() -> rollout.RolloutTracker:
    return rollout.RolloutTracker(
        move.Move(
            "service-0@2",
            ids.ServiceName("service-0"),
            ids.SoftwareVersion("1"),
            ids.SoftwareVersion("2"),
            None,
        ),
        tuple(f"route-{index}" for index in range(_ROUTES)),
        origin=ids.InstanceId("entry-0-0"),
        incarnation=ids.Incarnation(1),
        now_s=0.0,
    )


def _print_rollout() -> None:
    tracker = _tracker()
    version = ids.SoftwareVersion("1")
    begun = time.process_time()
    for index in range(_SAMPLES):
        tracker.on_sample("route-0", version, 0.001 * (index % 7), True)
    sample_us = (time.process_time() - begun) / _SAMPLES * 1e6
    for number in range(_ROUTES):
        for index in range(200):
            kind = ids.SoftwareVersion("12"[index % 20 == 0])
            route = f"route-{number}"
            tracker.on_sample(route, kind, 0.001 * (index % 7), index % 50 > 0)
    begun = time.process_time()
    tracker.on_tick()
    tick_us = (time.process_time() - begun) * 1e6
    evidence = tracker.take_evidence()
    size = 0 if evidence is None else len(_encoded(evidence))
    memory = _memory_bytes(_tracker)
    print(
        f"move: {sample_us:.2f} us per sample, {tick_us:.0f} us per tick and "
        f"{size} bytes of evidence per tick with {_ROUTES} routes, "
        f"{memory} bytes per tracker"
    )


def _encoded(evidence: object) -> bytes:
    return msgspec.json.encode(evidence)


if __name__ == "__main__":
    main()
