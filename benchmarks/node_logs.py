"""What the logs of real processes say that no fault from outside explains."""

import re
from pathlib import Path

__all__ = ["internal_errors"]

FAULTY = re.compile(r'"level":"(error|critical)"|Traceback \(most recent call last\)')
EXPECTED = '"message":"settings refused"'
"""A bad settings file is a fault from outside."""
LENGTH = 300
"""Characters of a line that are told."""


def internal_errors(log: Path) -> list[str]:
    """Return the lines by which a process tells a fault of its own; half lines are searched too."""
    with log.open(encoding="utf-8", errors="replace") as lines:
        found = [line for line in lines if FAULTY.search(line) and EXPECTED not in line]
    return [line.strip()[:LENGTH] for line in found]
