"""Reader of KNOWN-RED.txt, the list of tests that fail because of a known fault."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ["Entry", "ListError", "entry_of", "parse", "read"]

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELD_SEPARATOR = " | "
FIELD_COUNT = 4
FLAKY_PREFIX = "sometimes "
"""Marks a test that fails only sometimes."""


class ListError(ValueError):
    """The list is malformed, or names a test twice."""


@dataclass(frozen=True)
class Entry:
    """A test's id, the command that reproduces its failure, what was seen, and the open issue."""

    test: str
    command: str
    seen: str
    issue: str
    flaky: bool = False
    """Whether the test fails only sometimes and may therefore pass."""


def parse(text: str) -> list[Entry]:
    """Return the entries of a list, one per line; lines that start with # are comments."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    entries = [_parse_line(line) for line in lines]
    tests = [entry.test for entry in entries]
    for test in tests:
        if tests.count(test) > 1:
            raise ListError(f"listed twice: {test}")
    return entries


def _parse_line(line: str) -> Entry:
    fields = [field.strip() for field in line.split(FIELD_SEPARATOR)]
    if len(fields) != FIELD_COUNT or not all(fields):
        raise ListError(
            f"not 'test{FIELD_SEPARATOR}command{FIELD_SEPARATOR}seen{FIELD_SEPARATOR}issue': {line}"
        )
    test, command, seen, issue = fields
    return Entry(
        test.removeprefix(FLAKY_PREFIX), command, seen, issue, flaky=test.startswith(FLAKY_PREFIX)
    )


def read() -> list[Entry]:
    """Return the entries of the repository's list, or none if there is no list."""
    return parse(FILE.read_text()) if FILE.exists() else []


def entry_of(entries: list[Entry], node_id: str) -> Entry | None:
    """Return the entry of a test; an entry without parameters covers the test with any of them."""
    names = (node_id, node_id.partition("[")[0])
    return next((entry for entry in entries if entry.test in names), None)
