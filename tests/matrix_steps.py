"""The steps at which the fault matrix injects faults, each identified by an action."""

from collections.abc import Callable

import msgspec

from sablemount.core import actions, records
from sablemount.core.records import decode_batch
from tests.fakes.cell import MESSAGE_DELAY_S

IN_FLIGHT_S = MESSAGE_DELAY_S / 2
DELIVERED_S = MESSAGE_DELAY_S * 1.5


class Step(msgspec.Struct, frozen=True):
    """A step of a flow: the action that marks it, and when the fault follows.

    Actions before ``since`` are ignored; the fault follows ``delay`` seconds after the action.
    """

    flow: str
    name: str
    matches: Callable[[actions.Action], bool]
    delay: float = 0.0
    since: float = 0.0


def _appends(kind: type) -> Callable[[actions.Action], bool]:
    def matches(action: actions.Action) -> bool:
        if not isinstance(action, actions.AppendLog):
            return False
        batch = decode_batch(action.payload)
        return batch is not None and any(isinstance(r.body, kind) for r in batch.records)

    return matches


def _starts(template: str) -> Callable[[actions.Action], bool]:
    return lambda a: isinstance(a, actions.StartRun) and a.template == template


def _commands(kind: actions.CommandKind) -> Callable[[actions.Action], bool]:
    return lambda a: isinstance(a, actions.Poll) and any(c.kind is kind for c in a.commands)


def _serves(prefix: str) -> Callable[[actions.Action], bool]:
    return lambda a: isinstance(a, actions.Serve) and a.request.startswith(prefix)


def _polls(part: str) -> Callable[[actions.Action], bool]:
    return lambda a: isinstance(a, actions.Poll) and bool(getattr(a, part))


def _steps() -> list[Step]:
    moments = [("sent", 0.0), ("in flight", IN_FLIGHT_S), ("delivered", DELIVERED_S)]
    flow_steps: list[tuple[str, str, Callable[[actions.Action], bool], float]] = [
        ("request", "serve", _serves("q"), 1.0),
        ("keyed request", "spend", _appends(records.SpendKey), 1.0),
        ("keyed request", "serve", _serves("k"), 1.0),
        ("submit", "accept", _appends(records.Accept), 0.0),
        ("place", "start", _starts("plan"), 0.0),
        ("place once", "intent", _appends(records.Intent), 0.0),
        ("place once", "start", _starts("transfer"), 0.0),
        ("renew", "poll", _polls("renew"), 2.0),
        ("finish", "record", _appends(records.Finish), 0.0),
        ("finish", "acknowledge", _polls("acknowledge"), 0.0),
        ("preempt", "command", _commands(actions.CommandKind.CHECKPOINT), 4.0),
        ("preempt", "start", _starts("rush"), 4.0),
        ("drain", "record", _appends(records.Drain), 7.0),
        ("publish", "record", _appends(records.Publish), 9.0),
        ("cancel", "record", _appends(records.Cancel), 9.0),
        ("hand over", "release", _appends(records.Release), 11.0),
        ("join", "record", _appends(records.Join), 11.0),
        ("take over", "claim", _appends(records.Claim), 18.0),
        ("snapshot", "part", _appends(records.SnapshotPart), 0.0),
        ("quota", "move", _appends(records.QuotaMove), 0.0),
    ]
    return [
        Step(flow, f"{name} {moment}", matches, delay, since)
        for flow, name, matches, since in flow_steps
        for moment, delay in moments
    ]


STEPS = _steps()
