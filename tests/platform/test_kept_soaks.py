"""Each soak run that found a fault is kept, with the test that reproduces its fault directly."""

from benchmarks.kept_soaks import SEEDS, read
from benchmarks.process_soak import faults_named


def test_kept_soaks_can_be_played_and_have_their_tests() -> None:
    kept = read()
    assert kept
    for soak in kept:
        assert faults_named(soak.faults)
        assert (SEEDS.parents[1] / soak.test).is_file()
