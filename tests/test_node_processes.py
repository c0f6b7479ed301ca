"""Soaks that run at the same time use networks of their own."""

from benchmarks.node_processes import _free_network


def test_no_two_soaks_have_the_same_network() -> None:
    first, guard = _free_network()
    second, other = _free_network()
    guard.close()
    other.close()
    assert first != second


def test_a_network_is_free_again_after_a_soak() -> None:
    first, guard = _free_network()
    guard.close()
    again, guard = _free_network()
    guard.close()
    assert again == first
