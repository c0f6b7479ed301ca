"""Pytest configuration: tests listed in KNOWN-RED.txt are expected to fail, and are printed.

A listed test must fail: if it passes, the run fails, so that its entry gets reviewed. A test that
is marked as failing only sometimes may pass. Under pytest-xdist, the tests that run in real time
form two groups, each of which runs in sequence in one worker.
"""

import pytest

from tests import known_red
from tests.whole_reports import pytest_runtest_makereport

__all__ = ["pytest_runtest_makereport"]


VIRTUAL_TIME_TESTS = "tests/jobs/"
"""Tests on a simulated clock, which the load of the machine does not affect."""
PLATFORM_TESTS = "tests/platform/"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    entries = known_red.read()
    for item in items:
        listed = known_red.entries_of(entries, item.nodeid)
        if listed:
            reason = "; or: ".join(entry.seen for entry in listed)
            is_strict = not all(entry.flaky for entry in listed)
            item.add_marker(pytest.mark.xfail(reason=reason, strict=is_strict))
        if not item.nodeid.startswith(VIRTUAL_TIME_TESTS):
            group = "platform" if item.nodeid.startswith(PLATFORM_TESTS) else "real time"
            item.add_marker(pytest.mark.xdist_group(group))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    entries = known_red.read()
    terminalreporter.write_line(f"known to fail: {len(entries)}")
    for entry in entries:
        flaky_note = ", at times" if entry.flaky else ""
        terminalreporter.write_line(
            f"  {entry.test} ({entry.seen}; issue {entry.issue}{flaky_note})"
        )
