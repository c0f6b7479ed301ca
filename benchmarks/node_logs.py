"""Internal errors in the logs of real processes, which no injected fault explains."""

import re
from pathlib import Path

__all__ = ["internal_errors"]

ERROR_LINE = re.compile(r'"level":"(error|critical)"|Traceback \(most recent call last\)')
EXPECTED_MESSAGE = '"message":"settings refused"'
"""The message for an invalid settings file, which is an injected fault."""
MAX_LINE_CHARACTERS = 300
"""Number of characters of a line that are reported."""


def internal_errors(log: Path) -> list[str]:
    """Return the lines that report an internal error; incomplete lines are searched as well."""
    with log.open(encoding="utf-8", errors="replace") as lines:
        found = [line for line in lines if ERROR_LINE.search(line) and EXPECTED_MESSAGE not in line]
    return [line.strip()[:MAX_LINE_CHARACTERS] for line in found]
