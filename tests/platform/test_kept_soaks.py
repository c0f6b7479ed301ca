"""Each soak run that found a fault is kept, with the test that reproduces its fault directly."""

from benchmarks.kept_soaks import SEEDS_FILE, read
from benchmarks.process_soak import faults_named


def test_kept_soaks_can_be_played_and_have_their_tests() -> None:
    kept = read()
    assert kept
    for soak in kept:
        assert faults_named(soak.faults)
        assert (SEEDS_FILE.parents[1] / soak.test).is_file()
