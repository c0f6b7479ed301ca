"""Collection and output of the burn report."""

import msgspec
from result import Err
from tornado import template

from sablemount.cli.client import Client
from sablemount.report import BurnPart, BurnRow, merge_parts

__all__ = ["COLUMNS", "EXIT_NO_ANSWER", "CollectedReport", "collect", "missing_part_lines", "page"]

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
EXIT_NO_ANSWER = 4
TIMEOUT_S = 5.0

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


class CollectedReport(msgspec.Struct, frozen=True):
    """The merged report and the schedulers that it covers.

    ``unreachable`` holds the addresses that did not answer, ``missing`` the names of members of the
    cell whose part is not in the report.
    """

    rows: list[BurnRow]
    answered: list[str]
    unreachable: list[str]
    missing: list[str]


def collect(addresses: list[str]) -> CollectedReport:
    """Fetch the part of each scheduler and merge the parts."""
    parts: list[BurnPart] = []
    unreachable = []
    for address in addresses:
        result = Client(address, TIMEOUT_S).call("GET", "/v1/burn")
        if isinstance(result, Err):
            unreachable.append(address)
        else:
            parts.append(msgspec.convert(result.ok_value, BurnPart))
    members = {name for part in parts for name in part.members}
    answered = sorted(part.scheduler for part in parts)
    missing = sorted(members - set(answered))
    return CollectedReport(merge_parts(parts), answered, unreachable, missing)


def missing_part_lines(report: CollectedReport) -> list[str]:
    """Return a line for each scheduler whose part is not in the report."""
    lines = [f"{address} did not answer" for address in report.unreachable]
    lines += [f"member {name} is not in this report" for name in report.missing]
    return lines


def page(report: CollectedReport) -> str:
    """Return the report as an HTML page."""
    return _PAGE.generate(report=report, gaps=missing_part_lines(report)).decode()
