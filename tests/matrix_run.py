"""The scenario of the fault matrix: all flows over three schedulers and six VMs in virtual time."""

from collections.abc import Callable, Mapping

import msgspec

from sablemount.core import actions, events
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
from tests.fakes.cell import MESSAGE_DELAY_S, Member, VirtualCell
from tests.matrix_steps import Step

SCENARIO_S = 45.0
OUTCOME_TIMEOUT_S = 200.0
"""Time after the scenario in which all accepted work must reach an outcome."""
ANSWERED_S = MESSAGE_DELAY_S * 2.5
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


class Run:
    """One run of the scenario with the armed faults."""

    def __init__(self, seed: int, faults: "FaultTable", settings: CoreSettings = SETTINGS) -> None:
        self._faults = faults
        self.cell = VirtualCell(members=3, vms=6, seed=seed, settings=settings)
        self.started_at = 0.0
        self.injected: list[str] = []
        self.accepted: dict[str, str] = {}
        self._crashed: set[str] = set()

    # -- Faults ------------------------------------------------------------------------------

    def arm(self, step: Step, fault: str, follow_up: tuple[str, float] | None = None) -> None:
        """Arm a fault at the first occurrence of a step, and a second one some time later."""
        armed = [True]

        def observe(member: Member, action: actions.Action) -> None:
            late_enough = self.cell.now >= self.started_at + step.since
            if not armed[0] or not late_enough or not step.matches(action):
                return
            armed[0] = False
            vm = getattr(action, "vm", "")
            if step.delay:
                self.cell.after(step.delay, lambda: self.inject(fault, member.name, vm))
            else:
                self.inject(fault, member.name, vm)
            if follow_up is not None:
                second, wait = follow_up
                self.cell.after(
                    wait, lambda: self.inject(second, self._other_member(member.name), "")
                )

        self.cell.observers.append(observe)

    def _other_member(self, name: str) -> str:
        names = [other.name for other in self.cell.live() if other.name != name]
        return self.cell.rng.choice(names) if names else name

    def inject(self, fault: str, name: str, vm: str) -> None:
        """Inject a fault into a scheduler, or into a VM if the fault concerns one."""
        self.injected.append(fault)
        vm = vm or self.cell.rng.choice(sorted(self.cell.workers))
        self._faults[fault](self, name, vm)

    def undo_after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule the end of a fault."""
        self.cell.after(seconds, call)

    def crash(self, name: str) -> None:
        """Kill a scheduler; a new incarnation replaces it after 8 s."""
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
        """Run the scenario and return the violations."""
        cell = self.cell
        cell.run_until(cell.settled, 30.0)
        self.started_at = cell.now
        cell.truth.at_most_once.update(f"transfers.{index}" for index in range(6))
        self._script()
        cell.run(SCENARIO_S)
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
            at(
                0.01 * index,
                lambda document=document: self._call_on_last_member(cell.publish, document, 0),
            )
        for index, (job, (template, count)) in enumerate(JOBS.items()):
            at(1.0 + 1.5 * index, lambda j=job, t=template, c=count: self._submit(t, j, c))
        at(6.0, lambda: self._submit("rueda/rush", "rush", 2))
        for index in range(int(SCENARIO_S * 4)):
            at(1.0 + index / 4, lambda index=index: self._quote(index))
        for index in range(int(SCENARIO_S)):
            at(1.1 + index, lambda index=index: self._keyed(index))
        at(7.0, lambda: self._drain("vm-1"))
        at(9.0, lambda: cell.workers["vm-2"].leave(cell.now))
        at(9.5, self._revise)
        at(10.0, lambda: self._call_with_first_member(self._cancel))
        at(12.0, lambda: cell.members["s1"].handle(events.StopRequested()))
        at(17.0, lambda: cell.replace("s1"))
        at(18.0, lambda: self.crash("s2"))

    def _call_with_first_member(self, call: Callable[[Member], None]) -> None:
        live = self.cell.live()
        if live:
            call(live[0])

    def _call_on_last_member(self, call: Callable[..., str], *arguments: object) -> str:
        live = self.cell.live()
        return call(*arguments, member=live[-1].name) if live else ""

    def _submit(self, template: str, job: str, count: int) -> None:
        token = self._call_on_last_member(self.cell.submit, template, job, count)
        if token:
            self.accepted[token] = job

    def _quote(self, index: int) -> None:
        live = self.cell.live()
        if live:
            member = live[index % len(live)]
            self.cell.request("rueda/quote", member.name, name=f"q{index}")

    def _keyed(self, index: int) -> None:
        """Send requests with the same key to two schedulers at the same time."""
        for suffix, member in zip("ab", self.cell.live(), strict=False):
            key = f"{int(self.cell.now)}.{index}"
            self.cell.request("yard/stock", member.name, key, name=f"k{index}!{suffix}")

    def _drain(self, vm: str) -> None:
        live = self.cell.live()
        if not live:
            return
        deadline = live[0].clock() + 10.0
        live[0].handle(events.DrainRequested("drain", vm, True, deadline))

    def _revise(self) -> None:
        """Let two operators revise the same template at the same time."""
        for replicas, member in zip((2, 4), self.cell.live(), strict=False):
            document = msgspec.structs.replace(DISPATCH, replicas=replicas)
            self.cell.publish(document, 1, member.name)

    def _cancel(self, member: Member) -> None:
        deadline = member.clock() + 10.0
        member.handle(events.CancelRequested("cancel", "spares.13", deadline))

    def _finish(self) -> None:
        """Wait until all accepted work has an outcome, and report lost work as violations."""
        cell = self.cell
        limit = cell.now + OUTCOME_TIMEOUT_S
        while cell.now < limit and self._unfinished():
            cell.run(1.0)
        for name in self._unfinished():
            cell.truth.violations.append(f"lost: {name} has no outcome")
        cell.run(3.0)
        cell.check_tasks()
        self._check_revisions_agree()

    def _unfinished(self) -> list[str]:
        cell = self.cell
        missing = [] if cell.settled() else ["the shards"]
        for token, job in self.accepted.items():
            failure = cell.command_failures.get(token, ...)
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


FaultTable = Mapping[str, Callable[[Run, str, str], None]]
