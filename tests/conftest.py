"""Lets the run pass over the tests of KNOWN-RED.txt, and prints them.

A listed test has to fail: one that passes fails the run, so that its entry is looked at. One that
is marked to fail only at times may pass. Where several processes run the tests, those in real time
share two, one after the other in each.
"""

import pytest

from tests import known_red
from tests.whole_reports import pytest_runtest_makereport

__all__ = ["pytest_runtest_makereport"]


VIRTUAL_TIME = "tests/jobs/"
"""Where the tests are that take the same course however busy the machine is."""
PLATFORM = "tests/platform/"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    entries = known_red.read()
    for item in items:
        entry = known_red.entry_of(entries, item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.seen, strict=not entry.sometimes))
        if not item.nodeid.startswith(VIRTUAL_TIME):
            group = "platform" if item.nodeid.startswith(PLATFORM) else "real time"
            item.add_marker(pytest.mark.xdist_group(group))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    entries = known_red.read()
    terminalreporter.write_line(f"known to fail: {len(entries)}")
    for entry in entries:
        at_times = ", at times" if entry.sometimes else ""
        terminalreporter.write_line(f"  {entry.test} ({entry.seen}; issue {entry.issue}{at_times})")
