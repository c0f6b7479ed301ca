"""Runs again the soaks of real processes that have found a fault before.

python -m benchmarks.kept_soaks
"""

import tomllib
from pathlib import Path

import msgspec
import typer

from benchmarks.process_soak import PROCESSES, VMS, run_soak

__all__ = ["SEEDS_FILE", "KeptSoak", "read"]

SEEDS_FILE = Path(__file__).parent / "soak_seeds.toml"


class KeptSoak(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A soak, the cause of the fault that it found, and the test that reproduces the fault."""

    seed: int
    cause: str
    test: str
    seconds: float = 60.0
    processes: int = PROCESSES
    vms: int = VMS
    faults: str = ""


def read() -> list[KeptSoak]:
    """Return the listed soaks; raise ``msgspec.ValidationError`` for an invalid field."""
    rows = tomllib.loads(SEEDS_FILE.read_text())["soak"]
    return msgspec.convert(rows, type=list[KeptSoak])


def main() -> None:
    """Run all listed soaks, and exit with 1 if any of them finds a violation."""
    violations = 0
    for soak in read():
        print(soak.cause)
        violations += run_soak(
            soak.seed, soak.seconds, soak.processes, soak.vms, faults=soak.faults
        )
    if violations:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
