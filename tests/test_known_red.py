"""The list of known failures is read strictly, and is bounded."""

import pytest

from tests.known_red import MOST, Entry, ListError, entry_of, parse

LINE = "tests/test_a.py::test_b | it hangs | 7"


def test_a_line_names_test_cause_and_issue() -> None:
    assert parse(f"# a comment\n\n{LINE}\n") == [Entry("tests/test_a.py::test_b", "it hangs", "7")]


@pytest.mark.parametrize("line", ["tests/test_a.py::test_b", "a | b", "a | b |  ", "a | b | c | d"])
def test_a_line_without_all_of_them_is_refused(line: str) -> None:
    with pytest.raises(ListError):
        parse(line)


def test_more_lines_than_the_bound_are_refused() -> None:
    with pytest.raises(ListError):
        parse("\n".join([LINE] * (MOST + 1)))


def test_an_entry_stands_for_its_test_only_with_any_parameters() -> None:
    entries = parse(LINE)
    assert entry_of(entries, "tests/test_a.py::test_b") is not None
    assert entry_of(entries, "tests/test_a.py::test_b[0.4]") is not None
    assert entry_of(entries, "tests/test_a.py::test_bc") is None
    assert entry_of(entries, "tests/test_c.py::test_b") is None
