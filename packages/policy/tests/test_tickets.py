"""Tickets: only the incarnation that issued one accepts it."""

from __future__ import annotations

import base64

import pytest

from magnoliacrank.policy import tickets

_MINT = tickets.TicketMint("e1", 7, b"s" * 32)
_TOKEN = _MINT.issue("refill", 12.5)


def _tampered():
    raw = bytearray(base64.urlsafe_b64decode(_TOKEN))
    raw[-1] ^= 1
    return base64.urlsafe_b64encode(bytes(raw)).decode()


def test_check_own_token_returns_the_ticket():
    expected = tickets.Ticket("e1", 7, "refill", 12500)
    assert _MINT.verify(_TOKEN, "refill") == expected
    assert _MINT.verify(_TOKEN, "refill") == expected
    assert tickets.parse_unverified(_TOKEN) == expected
    assert expected.issued_s == 12.5


@pytest.mark.parametrize(
    ("mint", "token", "service", "fault"),
    [
        (_MINT, "", "refill", tickets.TicketFault.MALFORMED),
        (_MINT, "*" * 40, "refill", tickets.TicketFault.MALFORMED),
        (_MINT, "A" * 600, "refill", tickets.TicketFault.MALFORMED),
        (_MINT, "A" * 40, "refill", tickets.TicketFault.MALFORMED),
        (_MINT, "é" * 40, "refill", tickets.TicketFault.MALFORMED),
        (_MINT, _tampered(), "refill", tickets.TicketFault.FORGED),
        (_MINT, _TOKEN, "route", tickets.TicketFault.OTHER_SERVICE),
        (
            tickets.TicketMint("e1", 8, b"s" * 32),
            _TOKEN,
            "refill",
            tickets.TicketFault.OTHER_INSTANCE,
        ),
        (
            tickets.TicketMint("e1", 7, b"t" * 32),
            _TOKEN,
            "refill",
            tickets.TicketFault.FORGED,
        ),
    ],
)
def test_check_invalid_token_is_rejected(mint, token, service, fault):
    assert mint.verify(token, service) == tickets.TicketRejected(fault)
