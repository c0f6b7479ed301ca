"""The emulated VMs together: they obey the protocol and note each broken invariant."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from sablemount.control.ports import CallError, HoldCall, Started, StartResult
from sablemount.jobs.actions import CompletionReport, StartRun
from sablemount.jobs.model import JobSpec, Organisation, Shape, StepSpec, VmInfo
from sablemount.jobs.scheduler import StartRefusal
from tests.emulator.advice import good_ticket
from tests.emulator.vm import OpenEnd, Run, Vm, work_owner

LEASE = 6.0
STOP_TIME = 0.3
GANG_TIMEOUT = 3.0
APPLY_TIME = 3.0
"""Seconds for which a configuration may be in force after the next one was acknowledged."""
CRASHES_TOLD = 3
"""VMs that have to crash under a task before its further starts are counted."""
STARTS_AFTER = 3
"""Further starts that are too many."""
CRASH_AFTER = (0.01, 0.01, 0.01, 0.4, 2.0)
"""Seconds after which a task that crashes its VM does so, most of them at once."""
BORN_FROM = 1_780_000_000_000
"""Unix time in ms at which the emulation's time is 0."""
CAP_OVERAGE = 1.1
"""What an organisation may run beside its cap, and one task more."""


def loop_time() -> float:
    """Return the loop's time; 0 before it runs."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0


class Cell:
    """All VMs, and what is true of the tasks."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.vms: dict[str, Vm] = {}
        """All lives, by their names."""
        self._newest: dict[str, Vm] = {}
        """The newest life of each id."""
        self.jobs: dict[str, JobSpec] = {}
        self.done: set[str] = set()
        self.failures: Counter[str] = Counter()
        """Failed runs by task, also those of which nobody will hear: their VM has crashed."""
        self.noted_failures: dict[str, list[float]] = {}
        """When the runs ended that have failed and are taken note of, by task."""
        self.starts: dict[str, list[float]] = {}
        self.noted: set[str] = set()
        self.succeeded: set[str] = set()
        """Jobs that a caller was told have succeeded."""
        self.poison: set[str] = set()
        self.crash_share = 0.0
        """Share of the jobs handed in that have a task which crashes each VM that starts it."""
        self.crashing: dict[str, float] = {}
        """Seconds after which a task crashes its VM, by the task."""
        self.crashes: Counter[str] = Counter()
        """VMs that a task has crashed, by the task."""
        self.crashed_under: Counter[str] = Counter()
        """VMs that have crashed while a task ran there, whatever the cause."""
        self.starts_after: Counter[str] = Counter()
        """Starts of a task once it had crashed as many VMs as may be."""
        self.on_crash: Callable[[Vm], None] = self.crash
        """Takes a VM that a task crashes."""
        self.violations: list[str] = []
        self.late_orders = 0.0
        self.advised = False
        """Whether a start needs the ticket of an advice."""
        self.held_up = 0.0
        """Share of calls and answers that are held up on their way."""
        self.max_attempts = 4
        self.fail_share = 0.03
        self.seconds = 1.0
        self._lives = 0
        self.owners: dict[str, str] = {}
        """Organisations, by job."""
        self._caps: dict[str, list[tuple[float, Shape]]] = {}
        """Caps of an organisation, each with the time from which it is in force."""

    # -- VMs ---------------------------------------------------------------------------------

    def add(self, machine: str, rack: str, capacity: Shape, address: str = "") -> Vm:
        """Start a VM under an id that stands nowhere else."""
        self._lives += 1
        name = f"{machine}-{self._lives}"
        info = VmInfo(
            name, address or machine, "pool", capacity, ("a", rack), False, machine, revision=1
        )
        return self._enter(info, info.name)

    def restart(self, vm: Vm, capacity: Shape) -> Vm:
        """Start a VM again under its id, with all anew; its links are what they were."""
        self._lives += 1
        info = msgspec.structs.replace(vm.info, capacity=capacity, draining=False, revision=1)
        new = self._enter(info, f"{info.name}#{self._lives}")
        new.cut = vm.cut
        # Smaller than it was it has shrunk meanwhile, which binds as for one that goes on.
        new.capacities = [*vm.capacities, (loop_time(), vm.info.capacity)]
        return new

    def _enter(self, info: VmInfo, life: str) -> Vm:
        vm = Vm(info, self.rng.choice((0.98, 1.0, 1.01)), self.rng.uniform(0, 1e6), life)
        vm.born = BORN_FROM + int(loop_time() * 1000.0) + self._lives
        self.vms[life] = self._newest[info.name] = vm
        return vm

    def newest(self, name: str) -> Vm:
        """Return the newest life of an id."""
        return self._newest[name]

    def crash(self, vm: Vm) -> None:
        vm.up = False
        vm.resets = self.rng.random() < 0.5
        for run in vm.runs.values():
            self.crashed_under[run.task] += 1
            if run.timer is not None:
                run.timer.cancel()
        vm.runs.clear()

    def hand_in(self, name: str, spec: JobSpec) -> JobSpec:
        """Take a job that a caller is about to hand in, some with a task that crashes VMs.

        Return the one that is handed in: under an id that came before, the one of then.
        """
        if name in self.jobs:
            return self.jobs[name]
        self.jobs[name] = spec
        if self.crash_share and self.rng.random() < self.crash_share:
            self._draw_crashing(name, spec)
        return spec

    def _draw_crashing(self, name: str, spec: JobSpec) -> None:
        number = self.rng.randrange(len(spec.steps))
        index = self.rng.randrange(spec.steps[number].count)
        self.crashing[f"{name}.0.{number}.{index}"] = self.rng.choice(CRASH_AFTER)

    def crashes_vms(self, name: str) -> bool:
        """Tell whether a task of a job crashes the VMs that start it."""
        return any(task.startswith(f"{name}.") for task in self.crashing)

    def _crash_under(self, vm: Vm, run: Run) -> None:
        """Let a task crash its VM, if it still runs there."""
        if vm.up and vm.runs.get((run.task, run.number)) is run:
            self.crashes[run.task] += 1
            self.on_crash(vm)

    def _check_crashes(self, task: str) -> None:
        if self.crashes[task] < CRASHES_TOLD:
            return
        self.starts_after[task] += 1
        if self.starts_after[task] >= STARTS_AFTER:
            self.violations.append(f"started again though VMs crash under it: {task}")

    def life_at(self, address: str) -> Vm | None:
        for vm in self.vms.values():
            if vm.info.address == address and vm.up:
                return vm
        return None

    # -- Organisations -----------------------------------------------------------------------

    def configured(self, organisations: Sequence[Organisation], now: float) -> None:
        """Take the caps that the operator has published."""
        for organisation in organisations:
            self._caps.setdefault(organisation.name, []).append((now, organisation.cap))

    def _highest_cap(self, name: str, now: float) -> int:
        """Return the highest cap in cores of those that may be in force; 0 for no limit."""
        caps = self._caps.get(name, [(now, Shape())])
        ends = [since for since, _ in caps[1:]] + [now]
        cores = [
            cap.cores for (_, cap), end in zip(caps, ends, strict=True) if end > now - APPLY_TIME
        ]
        return 0 if 0 in cores else max(cores, default=0)

    def _check_cap(self, action: StartRun, charge: Shape) -> None:
        """Judge a start that is about to be made: a tenth and a task more than the cap is wrong."""
        owner = self.owners.get(action.task.partition(".")[0], "")
        cap = self._highest_cap(owner, asyncio.get_running_loop().time())
        if not owner or not cap:
            return
        running = sum(
            run.charge.cores
            for vm in self.vms.values()
            if vm.up
            for run in vm.runs.values()
            if self.owners.get(run.task.partition(".")[0]) == owner
        )
        if running > cap * CAP_OVERAGE:
            self.violations.append(f"over the cap of {owner}: {action.task}")

    # -- Tasks -------------------------------------------------------------------------------

    def start(self, vm: Vm, action: StartRun, fence: int, until: int) -> StartResult:
        now = asyncio.get_running_loop().time()
        clock = vm.clock_ms(now)
        if not vm.up:
            return CallError.NO_ANSWER
        if fence < vm.fence:
            return CallError.FENCED
        vm.fence = fence
        if until < clock:
            # Also if the run is there.
            return StartRefusal.LATE
        # A refused start extends the leases too.
        self._extend(vm, until, now)
        if (action.task, action.run) in vm.runs:
            return Started(clock)
        if action.run <= vm.barred[action.task]:
            return StartRefusal.OLD
        if self.advised and not good_ticket(action, now):
            return StartRefusal.TICKET
        if not self._may_go_on(action):
            return StartRefusal.REJECTED
        self._begin(vm, action, now)
        return Started(clock)

    def _step(self, task: str) -> StepSpec:
        job, _, step, _ = task.split(".")
        return self.jobs[job].steps[int(step)]

    def _may_go_on(self, action: StartRun) -> bool:
        """Judge the saved work that a start brings: it is the task's, or any of its gang's."""
        gang = self._step(action.task).gang
        if not action.saved or action.saved.startswith(f"{work_owner(action.task, gang)}|"):
            return True
        self.violations.append(f"saved work of another task: {action.task} from {action.saved}")
        return False

    def _begin(self, vm: Vm, action: StartRun, now: float) -> None:
        spec = self._step(action.task)
        self._check(vm, action, spec.charge)
        self._check_cap(action, spec.charge)
        self.starts.setdefault(action.task, []).append(now)
        length = max(0.05, self.rng.expovariate(1.0 / self.seconds)) * vm.slow
        if action.saved:
            length /= 2.0
        run = Run(action.task, action.run, spec.charge, now, length, spec.gang, spec.saves)
        run.begun_from = action.saved
        vm.runs[action.task, action.run] = run
        if action.task in self.crashing:
            after = self.crashing[action.task]
            asyncio.get_running_loop().call_later(after, self._crash_under, vm, run)
        if spec.gang:
            self._gang_joined(vm, run, spec.count)
            return
        run.timer = asyncio.get_running_loop().call_later(length, self._finish, vm, run)

    def _gang_joined(self, vm: Vm, run: Run, count: int) -> None:
        members = self._members(run)
        if any(member.begun_from != run.begun_from for _, member in members):
            self.violations.append(f"a gang goes on from different work: {run.task}")
        loop = asyncio.get_running_loop()
        if len(members) < count:
            run.timer = loop.call_later(GANG_TIMEOUT, self._end, vm, run, "alone")
            return
        for _, member in members:
            if member.timer is not None:
                member.timer.cancel()
        loop.call_later(run.length, self._gang_finish, run, count)

    def _members(self, run: Run) -> list[tuple[Vm, Run]]:
        """Return what is there of a gang's run."""
        step = run.task.rpartition(".")[0]
        return [
            (vm, other)
            for vm in self.vms.values()
            for other in vm.runs.values()
            if vm.up and other.number == run.number and other.task.rpartition(".")[0] == step
        ]

    def _gang_finish(self, run: Run, count: int) -> None:
        members = self._members(run)
        if any(member.task in self.crashing for _, member in members):
            return
        whole = len(members) == count
        if whole:
            self.done.update(member.task for _, member in members)
        for vm, member in members:
            self._end(vm, member, "done" if whole else "broken")

    def _check(self, vm: Vm, action: StartRun, charge: Shape) -> None:
        job, repetition, step, _ = action.task.split(".")
        now = asyncio.get_running_loop().time()
        if not vm.holds(charge.plus(vm.used()), now):
            self.violations.append(f"over capacity: {action.task} on {vm.life}")
        if action.task in self.noted:
            self.violations.append(f"started after its end was noted: {action.task}")
        if job in self.succeeded:
            self.violations.append(f"started after its job had succeeded: {action.task}")
        for other in self.vms.values():
            if other.up and any(run.task == action.task for run in other.runs.values()):
                self.violations.append(f"runs twice: {action.task}")
        self._check_crashes(action.task)
        if len(self.noted_failures.get(action.task, ())) >= self.max_attempts:
            self.violations.append(f"beyond its attempts: {action.task}")
        for earlier in self.jobs[job].steps[int(step)].after:
            for index in range(self.jobs[job].steps[earlier].count):
                if f"{job}.{repetition}.{earlier}.{index}" not in self.done:
                    self.violations.append(f"before its turn: {action.task}")

    def _finish(self, vm: Vm, run: Run) -> None:
        if run.task in self.crashing:
            return
        job = run.task.split(".")[0]
        failed = job in self.poison or self.rng.random() < self.fail_share
        if failed:
            self.failures[run.task] += 1
        else:
            self.done.add(run.task)
        self._end(vm, run, "failed" if failed else "done")

    def _end(self, vm: Vm, run: Run, how: str) -> None:
        if vm.runs.get((run.task, run.number)) is not run or not vm.up:
            return
        if run.timer is not None:
            run.timer.cancel()
        del vm.runs[run.task, run.number]
        vm.barred[run.task] = max(vm.barred[run.task], run.number)
        now = asyncio.get_running_loop().time()
        if how in ("done", "failed"):
            vm.open_ends[vm.next_end] = OpenEnd(run.task, how, now, vm.lapses)
        if vm.next_end > vm.acked_end:
            saved = run.saved(now, True) if how == "stopped" else ""
            vm.ends.append(CompletionReport(vm.next_end, run.task, run.number, how, saved))
        else:
            # Acknowledged beforehand, which counts all the same.
            self._note(vm, vm.next_end)
        vm.next_end += 1
        vm.news.set()
        if run.gang and how not in ("done", "broken"):
            for other_vm, other in self._members(run):
                self._end(other_vm, other, "broken")

    def stop(self, vm: Vm, task: str, number: int, fence: int) -> CallError | None:
        """Stop a run and those before it, and let none of them start any more."""
        if not vm.up:
            return CallError.NO_ANSWER
        if fence < vm.fence:
            return CallError.FENCED
        vm.fence = fence
        for run in vm.runs.values():
            if run.task == task and run.number <= number and not run.stopping:
                run.stopping = True
                asyncio.get_running_loop().call_later(STOP_TIME, self._end, vm, run, "stopped")
        vm.barred[task] = max(vm.barred[task], number)
        return None

    # -- Leases ------------------------------------------------------------------------------

    def _extend(self, vm: Vm, until_ms: float, now: float) -> None:
        clock = vm.clock_ms(now)
        vm.until_ms = max(vm.until_ms, min(until_ms, clock + LEASE * 1000.0))
        if vm.lapse is not None:
            vm.lapse.cancel()
        left = max(0.0, vm.until_ms - clock) / 1000.0 / vm.clock_rate
        loop = asyncio.get_running_loop()
        vm.lapse = loop.call_later(left, self._lapsed, vm)

    def _lapsed(self, vm: Vm) -> None:
        vm.lapses += 1
        for run in list(vm.runs.values()):
            self._end(vm, run, "lapsed")

    def hold(self, vm: Vm, call: HoldCall) -> CallError | None:
        now = asyncio.get_running_loop().time()
        if not vm.up:
            return CallError.NO_ANSWER
        if call.fence < vm.fence:
            return CallError.FENCED
        vm.fence = call.fence
        if call.until_ms:
            self._extend(vm, call.until_ms, now)
        for end in vm.ends:
            if end.number <= call.acked_completion:
                self._note(vm, end.number)
        vm.acked_end = max(vm.acked_end, call.acked_completion)
        vm.ends = [end for end in vm.ends if end.number > vm.acked_end]
        return None

    def _note(self, vm: Vm, number: int) -> None:
        """An end stands once it is acknowledged, unless the lease lapsed in between."""
        end = vm.open_ends.pop(number, None)
        if end is None or end.lapses != vm.lapses:
            return
        if end.how == "failed":
            self._note_failure(end)
            return
        self.noted.add(end.task)
        if any(start > end.at for start in self.starts[end.task]):
            self.violations.append(f"started again after an end that was noted: {end.task}")

    def _note_failure(self, end: OpenEnd) -> None:
        ended = self.noted_failures.setdefault(end.task, [])
        ended.append(end.at)
        ended.sort()
        if len(ended) < self.max_attempts:
            return
        if any(start > ended[self.max_attempts - 1] for start in self.starts[end.task]):
            self.violations.append(f"started again after its last attempt: {end.task}")
