"""Tests of the limits on bytes that are held for transfers."""

import pytest

from magnoliacrank.policy import transfer_budget


@pytest.mark.parametrize(
    ("held", "expected", "accepted"),
    [(0, 0, True), (0, 500, True), (10, 40, True), (10, 41, False)],
)
def test_requests_are_accepted_while_answers_have_room(
    held, expected, accepted
):
    budget = transfer_budget.TransferBudget(100)
    budget.hold(held)
    assert budget.accepts_request(expected) is accepted


def test_reservation_grows_within_the_budget_and_is_released_once():
    budget = transfer_budget.TransferBudget(100)
    reservation = transfer_budget.Reservation(budget)
    assert [reservation.try_grow(size) for size in (60, 50, 40)] == [
        True,
        False,
        True,
    ]
    assert budget.held_bytes == 100
    reservation.release()
    reservation.release()
    assert budget.held_bytes == 0


@pytest.mark.parametrize(
    ("in_flight", "size", "fits"),
    [
        (0, 64 << 20, True),
        (1, 64 << 20, False),
        (64 << 20, 0, True),
        (8 << 20, 8 << 20, True),
        (8 << 20, (8 << 20) + 1, False),
    ],
)
def test_bytes_in_flight_to_a_server_are_bounded(in_flight, size, fits):
    assert transfer_budget.fits_server(in_flight, size) is fits
