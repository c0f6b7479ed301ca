"""The fault matrix: every fault at every step of every flow, singly and in pairs.

One scenario runs all flows over three schedulers and six VMs in virtual time. A cell of the
matrix arms one step of one flow; when the step comes, its fault strikes the scheduler or VM
concerned. The invariants are checked by the stand-ins at each event; at the end everything is
healed, and all accepted work must come to an outcome.
"""

import itertools
from collections.abc import Callable

import msgspec

from sablemount.core import actions, events, records
from sablemount.core.config import CoreSettings
from sablemount.core.documents import (
    Kind,
    OrganisationDocument,
    Preferences,
    PriorityClass,
    Quota,
    Shape,
    TemplateDocument,
)
from sablemount.core.records import decode_batch
from tests.fakes.cell import DELAY, LIST, LOG, Member, VirtualCell
from tests.fakes.log import LogMode

FAULT_SECONDS = 20.0
END = 45.0
PATIENCE = 200.0
IN_FLIGHT = DELAY / 2
DELIVERED = DELAY * 1.5
ANSWERED = DELAY * 2.5
SETTINGS = CoreSettings(shards=3, tick=0.2, snapshot_entries=150, hold_limit=120.0, aging=20.0)

QUOTE = TemplateDocument("rueda", "quote", Kind.REQUEST, PriorityClass.URGENT, Shape(slots=1))
STOCK = TemplateDocument(
    "yard", "stock", Kind.REQUEST, PriorityClass.STANDARD, Shape(slots=1), repeatable=False
)
PLAN = TemplateDocument(
    "rueda", "plan", Kind.TASK, PriorityClass.BATCH, Shape(cores=4), expected_seconds=4.0
)
TRANSFER = TemplateDocument(
    "yard", "transfer", Kind.TASK, PriorityClass.BATCH, Shape(cores=2), repeatable=False
)
SPARE = TemplateDocument(
    "yard",
    "spare",
    Kind.TASK,
    PriorityClass.SPARE,
    Shape(cores=8),
    checkpointable=True,
    expected_seconds=8.0,
)
RUSH = TemplateDocument(
    "rueda", "rush", Kind.TASK, PriorityClass.URGENT, Shape(cores=16), expected_seconds=2.0
)
DISPATCH = TemplateDocument(
    "rueda",
    "dispatch",
    Kind.SERVICE,
    PriorityClass.STANDARD,
    Shape(cores=2),
    replicas=3,
    preferences=Preferences(spread=True),
)
YARD = OrganisationDocument("yard", quota=Quota(cores=60))
DOCUMENTS = [QUOTE, STOCK, PLAN, TRANSFER, SPARE, RUSH, DISPATCH, YARD]
JOBS = {
    "plans": ("rueda/plan", 12),
    "transfers": ("yard/transfer", 6),
    "spares": ("yard/spare", 14),
}


class Step(msgspec.Struct, frozen=True):
    """One step: the action that shows it, from when on, and how long after it the fault comes."""

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
    moments = [("sent", 0.0), ("in flight", IN_FLIGHT), ("delivered", DELIVERED)]
    shown: list[tuple[str, str, Callable[[actions.Action], bool], float]] = [
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
        for flow, name, matches, since in shown
        for moment, delay in moments
    ]


STEPS = _steps()


class Run:
    """One run of the scenario with armed faults."""

    def __init__(self, seed: int, settings: CoreSettings = SETTINGS) -> None:
        self.cell = VirtualCell(members=3, vms=6, seed=seed, settings=settings)
        self.origin = 0.0
        self.struck: list[str] = []
        self.accepted: dict[str, str] = {}
        self._crashed: set[str] = set()

    # -- Faults ------------------------------------------------------------------------------

    def arm(self, step: Step, fault: str, then: tuple[str, float] | None = None) -> None:
        """Let a fault strike at a step, and a second one a while after it."""
        armed = [True]

        def observe(member: Member, action: actions.Action) -> None:
            late_enough = self.cell.now >= self.origin + step.since
            if not armed[0] or not late_enough or not step.matches(action):
                return
            armed[0] = False
            vm = getattr(action, "vm", "")
            if step.delay:
                self.cell.after(step.delay, lambda: self.strike(fault, member.name, vm))
            else:
                self.strike(fault, member.name, vm)
            if then is not None:
                second, wait = then
                self.cell.after(wait, lambda: self.strike(second, self._other(member.name), ""))

        self.cell.observers.append(observe)

    def _other(self, name: str) -> str:
        names = [other.name for other in self.cell.live() if other.name != name]
        return self.cell.rng.choice(names) if names else name

    def strike(self, fault: str, name: str, vm: str) -> None:
        """Let a fault happen to a scheduler, and to a VM if it concerns one."""
        self.struck.append(fault)
        vm = vm or self.cell.rng.choice(sorted(self.cell.workers))
        FAULTS[fault](self, name, vm)

    def heal_after(self, seconds: float, call: Callable[[], None]) -> None:
        """Undo something later."""
        self.cell.after(seconds, call)

    def crash(self, name: str) -> None:
        """Kill a scheduler; a new one takes its name after a while."""
        member = self.cell.members[name]
        if member.dead:
            return
        self.cell.crash(name)
        self.cell.after(8.0, lambda: self._replace(name))

    def _replace(self, name: str) -> None:
        if self.cell.members[name].dead:
            self.cell.replace(name)

    # -- The scenario ------------------------------------------------------------------------

    def play(self) -> list[str]:
        """Run the scenario and return what was violated."""
        cell = self.cell
        cell.run_until(cell.settled, 30.0)
        self.origin = cell.now
        cell.truth.single.update(f"transfers.{index}" for index in range(6))
        self._script()
        cell.run(END)
        cell.heal()
        for name, member in list(cell.members.items()):
            if member.dead or member.stopped:
                cell.replace(name)
        self._finish()
        return cell.truth.violations

    def _script(self) -> None:
        cell = self.cell
        at = cell.after
        for index, document in enumerate(DOCUMENTS):
            at(0.01 * index, lambda document=document: self._on(cell.publish, document, 0))
        for index, (job, (template, count)) in enumerate(JOBS.items()):
            at(1.0 + 1.5 * index, lambda j=job, t=template, c=count: self._submit(t, j, c))
        at(6.0, lambda: self._submit("rueda/rush", "rush", 2))
        for index in range(int(END * 4)):
            at(1.0 + index / 4, lambda index=index: self._quote(index))
        for index in range(int(END)):
            at(1.1 + index, lambda index=index: self._keyed(index))
        at(7.0, lambda: self._drain("vm-1"))
        at(9.0, lambda: cell.workers["vm-2"].leave(cell.now))
        at(9.5, self._revise)
        at(10.0, lambda: self._on_member(self._cancel))
        at(12.0, lambda: cell.members["s1"].take(events.StopRequested()))
        at(17.0, lambda: cell.replace("s1"))
        at(18.0, lambda: self.crash("s2"))

    def _on_member(self, call: Callable[[Member], None]) -> None:
        live = self.cell.live()
        if live:
            call(live[0])

    def _on(self, call: Callable[..., str], *arguments: object) -> str:
        live = self.cell.live()
        return call(*arguments, member=live[-1].name) if live else ""

    def _submit(self, template: str, job: str, count: int) -> None:
        token = self._on(self.cell.submit, template, job, count)
        if token:
            self.accepted[token] = job

    def _quote(self, index: int) -> None:
        live = self.cell.live()
        if live:
            member = live[index % len(live)]
            self.cell.request("rueda/quote", member.name, name=f"q{index}")

    def _keyed(self, index: int) -> None:
        """Send the same key to two schedulers at once."""
        for suffix, member in zip("ab", self.cell.live(), strict=False):
            key = f"{int(self.cell.now)}.{index}"
            self.cell.request("yard/stock", member.name, key, name=f"k{index}!{suffix}")

    def _drain(self, vm: str) -> None:
        live = self.cell.live()
        if not live:
            return
        deadline = live[0].clock() + 10.0
        live[0].take(events.DrainRequested("drain", vm, True, deadline))

    def _revise(self) -> None:
        """Two operators revise one template at once."""
        for replicas, member in zip((2, 4), self.cell.live(), strict=False):
            document = msgspec.structs.replace(DISPATCH, replicas=replicas)
            self.cell.publish(document, 1, member.name)

    def _cancel(self, member: Member) -> None:
        deadline = member.clock() + 10.0
        member.take(events.CancelRequested("cancel", "spares.13", deadline))

    def _finish(self) -> None:
        """Wait until all accepted work has an outcome, and look for what was lost."""
        cell = self.cell
        limit = cell.now + PATIENCE
        while cell.now < limit and self._open():
            cell.run(1.0)
        for name in self._open():
            cell.truth.violations.append(f"lost: {name} came to no outcome")
        cell.run(3.0)
        cell.check_tasks()
        self._check_revisions_agree()

    def _open(self) -> list[str]:
        cell = self.cell
        missing = [] if cell.settled() else ["the shards"]
        for token, job in self.accepted.items():
            failure = cell.commands.get(token, ...)
            if failure is not None:
                continue
            count = JOBS[job][1] if job in JOBS else 2
            names = [f"{job}.{index}" for index in range(count)]
            missing += [name for name in names if not cell.verdict(name)]
        return missing

    def _check_revisions_agree(self) -> None:
        views = {
            tuple(sorted((key, row.revision) for key, row in m.core.state.ledger.documents.items()))
            for m in self.cell.live()
        }
        if len(views) > 1:
            self.cell.truth.violations.append("configuration: the schedulers differ")


# -- The faults ------------------------------------------------------------------------------


def _cut(run: Run, pairs: list[tuple[str, str]]) -> None:
    for one, other in pairs:
        run.cell.part(one, other)

    def mend() -> None:
        for one, other in pairs:
            run.cell.cut.discard(frozenset((one, other)))

    run.heal_after(FAULT_SECONDS, mend)


def _log_mode(run: Run, mode: LogMode, seconds: float) -> None:
    run.cell.log.mode = mode

    def mend() -> None:
        if run.cell.log.mode is mode:
            run.cell.log.mode = LogMode.UP
        run.cell.log.land_late_writes(run.cell.now)

    run.heal_after(seconds, mend)


def _slow_log(run: Run) -> None:
    run.cell.log_delay = 0.4
    run.heal_after(FAULT_SECONDS, lambda: setattr(run.cell, "log_delay", DELAY))


def _drops(run: Run, what: str) -> None:
    until = run.cell.now + 1.5
    before = run.cell.drop

    def drop(member: Member, action: actions.Action, part: str) -> bool:
        return before(member, action, part) or (part == what and run.cell.now < until)

    run.cell.drop = drop


def _vm_restarts(run: Run, vm: str) -> None:
    worker = run.cell.workers[vm]
    worker.fail()
    run.heal_after(2.0, lambda: worker.restart(f"boot-{run.cell.now}"))


def _stale_list(run: Run, vm: str) -> None:
    run.cell.listed = run.cell.vm_list()
    run.cell.workers[vm].fail()
    run.heal_after(FAULT_SECONDS, lambda: setattr(run.cell, "listed", None))


def _rival(run: Run, name: str) -> None:
    document = msgspec.structs.replace(DISPATCH, replicas=5)
    for revision in (1, 2):
        if not run.cell.members[name].dead:
            run.cell.publish(document, revision, name)


def _peers(run: Run, name: str) -> list[tuple[str, str]]:
    return [(name, other) for other in run.cell.names if other != name]


def _machines(run: Run, name: str) -> list[tuple[str, str]]:
    return [(name, vm) for vm in run.cell.workers]


FAULTS: dict[str, Callable[[Run, str, str], None]] = {
    "crash": lambda run, name, vm: run.crash(name),
    "short pause": lambda run, name, vm: run.cell.pause(name, 1.2),
    "lapsed lease": lambda run, name, vm: run.cell.pause(name, 9.0),
    "lost command": lambda run, name, vm: _drops(run, "command"),
    "lost answer": lambda run, name, vm: _drops(run, "answer"),
    "log outage": lambda run, name, vm: _log_mode(run, LogMode.DOWN, FAULT_SECONDS),
    "lost append answers": lambda run, name, vm: _log_mode(run, LogMode.LOSES_ANSWERS, 8.0),
    "late writes": lambda run, name, vm: _log_mode(run, LogMode.WRITES_LATE, 6.0),
    "slow log": lambda run, name, vm: _slow_log(run),
    "VM failure": lambda run, name, vm: run.cell.workers[vm].fail(),
    "VM restart": lambda run, name, vm: _vm_restarts(run, vm),
    "stale VM list": lambda run, name, vm: _stale_list(run, vm),
    "racing operator": lambda run, name, vm: _rival(run, name),
    "cut from the log": lambda run, name, vm: _cut(run, [(name, LOG), (name, LIST)]),
    "cut from the peers": lambda run, name, vm: _cut(run, _peers(run, name)),
    "cut from the VMs": lambda run, name, vm: _cut(run, _machines(run, name)),
    "cut from log and peers": lambda run, name, vm: _cut(run, [(name, LOG), *_peers(run, name)]),
}


class Cell(msgspec.Struct, frozen=True):
    """One cell of the matrix; ``second`` strikes another scheduler ``wait`` seconds later."""

    step: int
    fault: str
    second: str = ""
    wait: float = 0.0

    def describe(self) -> str:
        """Return the cell in words."""
        step = STEPS[self.step]
        after = f" + {self.second} after {self.wait} s" if self.second else ""
        return f"{step.flow}: {step.name} x {self.fault}{after}"


class CellResult(msgspec.Struct, frozen=True):
    """What became of one cell; ``struck`` is false when its step did not come about."""

    cell: Cell
    struck: bool
    violations: list[str]


def run_cell(cell: Cell) -> CellResult:
    """Run one cell under its own seed."""
    run = Run(seed=1000 + cell.step)
    then = (cell.second, cell.wait) if cell.second else None
    run.arm(STEPS[cell.step], cell.fault, then)
    try:
        violations = run.play()
    except Exception as error:
        violations = [f"exception: {error!r}"]
    return CellResult(cell, bool(run.struck), violations)


def singles() -> list[Cell]:
    """Return every step with every fault."""
    return [Cell(step, fault) for step in range(len(STEPS)) for fault in FAULTS]


def pairs() -> list[Cell]:
    """Return every step with every pair of faults, the waits in turn."""
    waits = itertools.cycle((0.0, 0.4, 3.0))
    return [
        Cell(step, first, second, next(waits))
        for step in range(len(STEPS))
        for first in FAULTS
        for second in FAULTS
    ]
