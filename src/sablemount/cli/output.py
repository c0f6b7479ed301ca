"""Output of the command line: tables for people and JSON for scripts."""

import json
from collections.abc import Sequence
from typing import Any

import typer
from rich.console import Console
from rich.table import Table

__all__ = ["show_json", "show_rows"]

TABLE_WIDTH_CHARS = 140


def show_json(value: Any) -> None:
    """Print a value as JSON."""
    typer.echo(json.dumps(value, indent=2, sort_keys=True))


def show_rows(rows: Sequence[dict[str, Any]], columns: Sequence[str], as_json: bool) -> None:
    """Print rows as a table of the given columns, or with all their fields as JSON."""
    if as_json:
        show_json(list(rows))
        return
    table = Table(box=None, header_style="bold")
    for column in columns:
        table.add_column(column.replace("_", " "))
    for row in rows:
        table.add_row(*(_format_cell(row.get(column)) for column in columns))
    Console(width=TABLE_WIDTH_CHARS).print(table)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, dict):
        return " ".join(f"{name}={part}" for name, part in value.items() if part)
    return str(value)
