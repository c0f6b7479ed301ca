"""When a VM counts as having few connections left, and when it is checked."""

from sablemount.control.vm_room import (
    CHECK_INTERVAL_S,
    FIRST_CHECK_S,
    RESERVED_CONNECTIONS,
    Room,
)

NOW = 50.0


def test_a_vm_with_enough_connections_left_is_not_checked() -> None:
    room = Room(RESERVED_CONNECTIONS, NOW)
    assert not room.is_scarce
    assert not room.is_check_due(NOW + 1e6)


def test_a_vm_that_may_have_few_is_scarce_at_once_and_checked_later() -> None:
    room = Room(RESERVED_CONNECTIONS - 1, NOW)
    assert room.is_scarce
    assert not room.is_check_due(NOW + FIRST_CHECK_S - 0.1)
    assert room.is_check_due(NOW + FIRST_CHECK_S)


def test_a_connection_that_may_stay_open_makes_a_check_due() -> None:
    room = Room(RESERVED_CONNECTIONS, NOW)
    room.connection_abandoned()
    assert not room.is_scarce
    assert room.is_check_due(NOW + FIRST_CHECK_S)


def test_checks_of_a_vm_are_rare() -> None:
    room = Room(0, NOW)
    room.check_begins(NOW + FIRST_CHECK_S)
    room.checked(False)
    assert not room.is_check_due(NOW + FIRST_CHECK_S + CHECK_INTERVAL_S - 0.1)
    assert room.is_check_due(NOW + FIRST_CHECK_S + CHECK_INTERVAL_S)


def test_a_vm_with_few_connections_left_is_checked_until_it_has_enough() -> None:
    room = Room(0, NOW)
    assert not room.checked(False)
    assert room.is_scarce
    assert room.checked(True)
    assert not room.is_scarce
    assert not room.is_check_due(NOW + 1e6)
