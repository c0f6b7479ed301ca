"""Concurrent soaks use different loopback networks."""

from benchmarks.node_processes import _free_network


def test_no_two_soaks_have_the_same_network() -> None:
    first_network, first_guard = _free_network()
    second_network, second_guard = _free_network()
    first_guard.close()
    second_guard.close()
    assert first_network != second_network


def test_a_network_is_free_again_after_a_soak() -> None:
    network, guard = _free_network()
    guard.close()
    network_after_release, guard = _free_network()
    guard.close()
    assert network_after_release == network
