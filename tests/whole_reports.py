"""A pytest hook that disables garbage collection while a test report is created.

A report parses the source of the test. In CPython 3.11, the parser fails from then on if a
finalizer that the garbage collector runs meanwhile also parses source, which each logged traceback
does.
"""

import gc
from collections.abc import Generator

import pytest

__all__ = ["pytest_runtest_makereport"]


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport() -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Create the report with garbage collection disabled."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return (yield)
    finally:
        if was_enabled:
            gc.enable()
