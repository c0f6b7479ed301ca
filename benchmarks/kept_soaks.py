"""Plays again the soaks of the real processes that once found something.

python -m benchmarks.kept_soaks
"""

import tomllib
from pathlib import Path

import msgspec
import typer

from benchmarks.process_soak import PROCESSES, VMS, play

__all__ = ["SEEDS", "KeptSoak", "read"]

SEEDS = Path(__file__).parent / "soak_seeds.toml"


class KeptSoak(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One soak, what it found, and the test that shows that since."""

    seed: int
    cause: str
    test: str
    seconds: float = 60.0
    processes: int = PROCESSES
    vms: int = VMS
    faults: str = ""


def read() -> list[KeptSoak]:
    """Return the kept soaks; raises ``msgspec.ValidationError`` naming the field that is wrong."""
    rows = tomllib.loads(SEEDS.read_text())["soak"]
    return msgspec.convert(rows, type=list[KeptSoak])


def main() -> None:
    """Play all of them, and exit with 1 if anything is wrong in one."""
    wrong = 0
    for kept in read():
        print(kept.cause)
        wrong += play(kept.seed, kept.seconds, kept.processes, kept.vms, faults=kept.faults)
    if wrong:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
