"""Collecting and showing the burn report."""

import msgspec
from result import Err
from tornado import template

from sablemount.cli.client import Client
from sablemount.report import BurnPart, BurnRow, combine

__all__ = ["COLUMNS", "EXIT_NONE", "Collected", "collect", "gaps", "page"]

COLUMNS = [
    "organisation",
    "template",
    "target",
    "within",
    "total",
    "budget_left",
    "burn_short",
    "burn_long",
    "failures",
]
EXIT_NONE = 4
TIMEOUT = 5.0

_PAGE = template.Template(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem; color: #1d2733; }
table { border-collapse: collapse; } th, td { padding: .35rem .8rem; text-align: right; }
th { border-bottom: 2px solid #1d2733; } td { border-bottom: 1px solid #d5dbe3; }
th:nth-child(-n+2), td:nth-child(-n+2), td.wide { text-align: left; }
.bar { display: inline-block; height: .7rem; vertical-align: middle; background: #3b7dd8; }
.hot { background: #c8372d; } .gap { color: #c8372d; }
</style></head><body>
<h1>Service-level burn</h1>
<p>{{ len(report.answered) }} schedulers answered. A burn rate of 1 uses up the error budget
exactly; the short window is five minutes, the long one an hour.</p>
{% for line in gaps %}<p class="gap">{{ line }}</p>{% end %}
<table><tr><th>Organisation</th><th>Template</th><th>Objective</th><th>Counted</th>
<th>Budget left</th><th>Burn, short</th><th>Burn, long</th><th></th><th>Failures</th></tr>
{% for row in report.rows %}<tr><td>{{ row.organisation }}</td><td>{{ row.template }}</td>
<td>{{ "%g%% in %g s" % (100 * row.target, row.within) }}</td><td>{{ row.total }}</td>
<td>{{ "%.0f%%" % (100 * row.budget_left) }}</td><td>{{ "%.2f" % row.burn_short }}</td>
<td>{{ "%.2f" % row.burn_long }}</td>
<td class="wide"><span class="bar{{ ' hot' if row.burn_short > 1 else '' }}"
style="width: {{ "%.0f" % min(200, 40 * row.burn_short) }}px"></span></td>
<td class="wide">{{ ", ".join("%s %d" % item for item in sorted(row.failures.items())) }}</td>
</tr>{% end %}</table></body></html>
"""
)


class Collected(msgspec.Struct, frozen=True):
    """The report, who answered, and who did not."""

    rows: list[BurnRow]
    answered: list[str]
    unreachable: list[str]
    missing: list[str]


def collect(addresses: list[str]) -> Collected:
    """Ask each scheduler for its part."""
    parts: list[BurnPart] = []
    unreachable = []
    for address in addresses:
        answer = Client(address, TIMEOUT).call("GET", "/v1/burn")
        if isinstance(answer, Err):
            unreachable.append(address)
        else:
            parts.append(msgspec.convert(answer.ok_value, BurnPart))
    members = {name for part in parts for name in part.members}
    answered = sorted(part.scheduler for part in parts)
    missing = sorted(members - set(answered))
    return Collected(combine(parts), answered, unreachable, missing)


def gaps(report: Collected) -> list[str]:
    """Return a line for each part that the report lacks."""
    lines = [f"{address} did not answer" for address in report.unreachable]
    lines += [f"member {name} is not in this report" for name in report.missing]
    return lines


def page(report: Collected) -> str:
    """Return the report as an HTML page."""
    return _PAGE.generate(report=report, gaps=gaps(report)).decode()
