"""Prints the costs per key, slot, loan and ticket.

The costs are processor time, and bytes in memory or in a message or ticket.

A key identifies a request so that a repeat of it is recognised; a ticket is a
signed token under which a caller sends keys. A slot is the right to run one
request on a backend server at a time; a loan is a slot that one crew member
lends another.

Run it with `python -m bench.capacity.policy_slopes`.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

import attrs
import msgspec

from magnoliacrank.model import crew as crew_model
from magnoliacrank.model import ids
from magnoliacrank.model import request as request_model
from magnoliacrank.model import verdict
from magnoliacrank.policy import admission
from magnoliacrank.policy import allowance_meter
from magnoliacrank.policy import claim_index
from magnoliacrank.policy import crash_messages
from magnoliacrank.policy import crash_suspects
from magnoliacrank.policy import key_entry
from magnoliacrank.policy import key_table
from magnoliacrank.policy import slot_hold
from magnoliacrank.policy import slot_ledger
from magnoliacrank.policy import slot_messages
from magnoliacrank.policy import slot_timing
from magnoliacrank.policy import tickets

if TYPE_CHECKING:
    from collections.abc import Callable

_COUNT = 20_000
_KEYS_PER_TICKET = 20
_MEMBERS = 6
_SERVERS = 40
_SLOTS_PER_SERVER = 4
_SERVICE = ids.ServiceName("refill")
_CUSTOMER = ids.CustomerId("cirelis")
_BODY = b"x" * 512


@attrs.frozen
class Slope:
    """Cost of one more item or of one operation."""

    name: str
    """The item or operation."""

    value: float
    """Cost in `unit`."""

    unit: str
    """Unit of the cost: B for bytes, us for microseconds."""


def _bytes_per_item(build: Callable[[], object], count: int) -> float:
    """Returns the memory per item of a built structure, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / count


def _cpu_us_per_call(run: Callable[[], None], count: int) -> float:
    """Returns the processor time per operation in microseconds.

    Args:
        run: Does all operations.
        count: Number of operations that it does.
    """
    gc.collect()
    start_s = time.process_time()
    run()
    return (time.process_time() - start_s) / count * 1e6


def _build_mint() -> tickets.TicketMint:
    """Returns a ticket mint with a fixed secret."""
    return tickets.TicketMint(
        ids.InstanceId("e1"), ids.Incarnation(1), bytes(32)
    )


def _scoped_key(token: str, number: int) -> key_entry.ScopedKey:
    """Returns a numbered key; without a ticket if the token is empty."""
    return key_entry.ScopedKey(
        _CUSTOMER, _SERVICE, token, ids.RequestKey(f"key-{number:032d}")
    )


def _ticket_tokens() -> list[str]:
    """Returns a ticket token for each key, as a string object of its own.

    On an instance each request brings a copy of the token.
    """
    mint = _build_mint()
    return [
        mint.issue(_SERVICE, float(number // _KEYS_PER_TICKET))
        for number in range(_COUNT)
    ]


def _build_key_table(
    answer: key_entry.KeptAnswer | None,
) -> key_table.KeyTable:
    """Returns a table of finished keys, each with a copy of the answer."""
    table = key_table.KeyTable(mint_s=1e9, horizon_s=1e9)
    for number, token in enumerate(_ticket_tokens()):
        key = _scoped_key(token, number)
        table.begin(key, number.to_bytes(16, "big"), 0.0, 0.0)
        kept = answer
        if answer is not None:
            kept = attrs.evolve(answer, body=bytes(bytearray(answer.body)))
        table.finish(key, verdict.DONE, kept)
    return table


def _key_slopes() -> list[Slope]:
    """Returns the costs of keys with a ticket and of claims of plain keys."""
    answer = key_entry.KeptAnswer(200, (("Content-Type", "text/plain"),), _BODY)
    keys = [_scoped_key(token, n) for n, token in enumerate(_ticket_tokens())]
    table = key_table.KeyTable(mint_s=1e9, horizon_s=1e9)

    def first() -> None:
        for key in keys:
            table.begin(key, b"digest", 0.0, 0.0)
            table.finish(key, verdict.DONE, answer)

    def repeat() -> None:
        for key in keys:
            table.begin(key, b"digest", 0.0, 0.0)

    def build_claim_index() -> object:
        book = claim_index.ClaimIndex(1e9)
        owner = slot_messages.InstanceIncarnation(
            ids.InstanceId("e1"), ids.Incarnation(1)
        )
        for number in range(_COUNT):
            key = _scoped_key("", number)
            claim = claim_index.Claim(
                ids.LogOffset(number), key, number.to_bytes(16, "big"), owner
            )
            book.add(claim, 0.0)
        return book

    return [
        Slope(
            "key kept, no answer",
            _bytes_per_item(lambda: _build_key_table(None), _COUNT),
            "B",
        ),
        Slope(
            "key kept, answer of 512 B",
            _bytes_per_item(lambda: _build_key_table(answer), _COUNT),
            "B",
        ),
        Slope("first request of a key", _cpu_us_per_call(first, _COUNT), "us"),
        Slope("repeat of a key", _cpu_us_per_call(repeat, _COUNT), "us"),
        Slope("claim kept", _bytes_per_item(build_claim_index, _COUNT), "B"),
    ]


def _ticket_slopes() -> list[Slope]:
    """Returns the costs of tickets."""
    mint = _build_mint()
    tokens = [mint.issue(_SERVICE, float(n)) for n in range(2_000)]

    def issue() -> None:
        for number in range(2_000):
            mint.issue(_SERVICE, float(number))

    def verify() -> None:
        for token in tokens:
            mint.verify(token, _SERVICE)

    return [
        Slope("ticket issued", _cpu_us_per_call(issue, 2_000), "us"),
        Slope("ticket checked first", _cpu_us_per_call(verify, 2_000), "us"),
        Slope("ticket checked again", _cpu_us_per_call(verify, 2_000), "us"),
        Slope("ticket", float(len(tokens[-1])), "B"),
    ]


def _build_crew() -> crew_model.Crew:
    """Returns a crew whose members own the slots in turn."""
    names = [ids.InstanceId(f"e{n}") for n in range(_MEMBERS)]
    shares = {}
    for server in range(_SERVERS):
        counts = dict.fromkeys(names, 0)
        for slot in range(_SLOTS_PER_SERVER):
            counts[names[(server * _SLOTS_PER_SERVER + slot) % _MEMBERS]] += 1
        shares[ids.ServerId(f"s{server}")] = counts
    members = tuple(
        crew_model.CrewMember(name, ids.Incarnation(1), ids.DataCentre("dc"))
        for name in names
    )
    return crew_model.Crew(_SERVICE, ids.LogOffset(0), members, shares)


def _build_ledger(name: str) -> slot_ledger.SlotLedger:
    """Returns the slot ledger of a crew member; all servers are warm."""
    ledger = slot_ledger.SlotLedger(
        ids.InstanceId(name),
        ids.Incarnation(1),
        slot_timing.SlotTiming(
            min_request_interval_s=0.0, refusal_backoff_s=0.0
        ),
    )
    crew = _build_crew()
    ledger.set_crew(crew, 0.0)
    for server_id in crew.shares:
        ledger.set_limit(server_id, _SLOTS_PER_SERVER, is_cold=False, now_s=0.0)
    ledger.confirm_by_log(0.0)
    return ledger


def _slot_slopes() -> list[Slope]:
    """Returns the costs of the slots that a member owns."""
    ledger = _build_ledger("e0")
    server_id = ids.ServerId("s0")

    def take_and_release() -> None:
        for _ in range(_COUNT):
            hold = ledger.acquire(server_id, 1.0)
            assert isinstance(hold, slot_hold.SlotHold)
            ledger.release(hold, 1.0)

    def count_free() -> None:
        for _ in range(_COUNT):
            ledger.free(server_id, 1.0)

    def tick() -> None:
        for _ in range(2_000):
            ledger.tick(1.0)

    return [
        Slope(
            "backend server in a ledger",
            _bytes_per_item(lambda: _build_ledger("e0"), _SERVERS),
            "B",
        ),
        Slope(
            "slot taken and released",
            _cpu_us_per_call(take_and_release, _COUNT),
            "us",
        ),
        Slope(
            "free slots looked up", _cpu_us_per_call(count_free, _COUNT), "us"
        ),
        Slope("tick of a quiet ledger", _cpu_us_per_call(tick, 2_000), "us"),
    ]


def _loan_slopes() -> list[Slope]:
    """Returns the costs of loans, for lender and borrower together."""
    lender, borrower = _build_ledger("e0"), _build_ledger("e1")
    server_ids = (ids.ServerId("s0"),)
    size_bytes = 0

    def cycle() -> None:
        nonlocal size_bytes
        for step in range(2_000):
            now_s = step * 0.5
            for each in (lender, borrower):
                each.confirm_by_log(now_s)
            size_bytes = 0
            sent = borrower.ask_loans(server_ids, 1, now_s)
            while sent:
                outgoing = sent.pop()
                size_bytes += len(msgspec.msgpack.encode(outgoing.message))
                to_lender = outgoing.to == "e0"
                target = lender if to_lender else borrower
                sent += target.on_message(outgoing.message, now_s)
            for outgoing in borrower.tick(now_s + 0.3):
                size_bytes += len(msgspec.msgpack.encode(outgoing.message))
                lender.on_message(outgoing.message, now_s + 0.3)

    micros = _cpu_us_per_call(cycle, 2_000)
    return [
        Slope("loan asked, granted and returned", micros, "us"),
        Slope("messages of a loan, MessagePack", float(size_bytes), "B"),
    ]


def _admission_slopes() -> list[Slope]:
    """Returns the costs of admission and of the check for crash suspects."""
    service_admission = admission.Admission(allowance_meter.AllowanceMeter())
    service_admission.set_capacity(_SLOTS_PER_SERVER)
    request = request_model.Request(
        _CUSTOMER, _SERVICE, "r", request_model.RequestClass.IDEMPOTENT, 9.0
    )
    suspects = crash_suspects.CrashSuspects(
        ids.InstanceId("e0"), _SERVICE, settle_s=1.0
    )
    fingerprint = crash_messages.Fingerprint(_CUSTOMER, _SERVICE, b"d")

    def offer() -> None:
        for _ in range(_COUNT):
            admitted = service_admission.offer(request, 1.0)
            assert isinstance(admitted, admission.Admitted)
            service_admission.on_finished(admitted.place, 1.0)

    def decide() -> None:
        for _ in range(_COUNT):
            suspects.decide(fingerprint, 1.0)

    return [
        Slope(
            "request admitted and finished",
            _cpu_us_per_call(offer, _COUNT),
            "us",
        ),
        Slope(
            "request checked for suspects",
            _cpu_us_per_call(decide, _COUNT),
            "us",
        ),
    ]


def measure() -> list[Slope]:
    """Returns the costs of all parts of the policy library measured here."""
    return [
        *_key_slopes(),
        *_ticket_slopes(),
        *_slot_slopes(),
        *_loan_slopes(),
        *_admission_slopes(),
    ]


def main() -> None:
    """Prints the costs as a table."""
    print("| what | cost |")
    print("| --- | --- |")
    for slope in measure():
        print(f"| {slope.name} | {slope.value:.1f} {slope.unit} |")


if __name__ == "__main__":
    main()
