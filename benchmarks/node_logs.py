"""Internal errors in the logs of real processes, which no injected fault explains."""

import re
from pathlib import Path

__all__ = ["internal_errors"]

ERROR_LINE = re.compile(r'"level":"(error|critical)"|Traceback \(most recent call last\)')
EXPECTED_MESSAGE = '"message":"settings refused"'
"""The message for an invalid settings file, which is an injected fault."""
MAX_LINE_CHARACTERS = 300
"""Number of characters of a line that are reported."""
LINES_AROUND = 5
"""Number of structured lines that are reported before and after an error."""
MAX_TRACEBACK_LINES = 60
"""Number of lines of a traceback that are reported."""


def internal_errors(log: Path) -> list[str]:
    """Return the internal errors, each with the lines around it; incomplete lines count as well.

    The first line of each is the one that reports the error. A traceback is reported as a whole.
    """
    lines = log.read_text(encoding="utf-8", errors="replace").splitlines()
    return [
        _excerpt(lines, number)
        for number, line in enumerate(lines)
        if ERROR_LINE.search(line) and EXPECTED_MESSAGE not in line
    ]


def _excerpt(lines: list[str], number: int) -> str:
    """Return a line, the traceback that it begins, and the lines before and after."""
    end = number + 1
    limit = min(len(lines), end + MAX_TRACEBACK_LINES)
    while end < limit and not lines[end].startswith("{"):
        end += 1
    before = lines[max(0, number - LINES_AROUND) : number]
    after = lines[end : end + LINES_AROUND]
    parts = [*lines[number:end], "before:", *before, "after:", *after]
    return "\n".join(part.strip()[:MAX_LINE_CHARACTERS] for part in parts)
