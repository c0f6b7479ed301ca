"""A job scheduler with a controlled clock, and helpers that feed events to it."""

from sablemount.jobs.actions import (
    Action,
    AskAdvice,
    CompletionReport,
    PollVm,
    RunReport,
    StartRun,
    StopRun,
    VmReport,
)
from sablemount.jobs.journal import Batch
from sablemount.jobs.model import (
    AdviceTerms,
    Configuration,
    JobSpec,
    Organisation,
    Queue,
    QueueTerms,
    Shape,
    StepSpec,
    VmInfo,
)
from sablemount.jobs.records import Record
from sablemount.jobs.scheduler import JobScheduler
from sablemount.jobs.settings import JobSettings
from sablemount.jobs.tables import JobRow

CAPACITY = Shape(16_000, 64_000, 2)
CORE = Shape(1_000, 1_000)
WALL_MS = 1.8e12


class Clock:
    def __init__(self) -> None:
        self.time = 100.0

    def monotonic(self) -> float:
        return self.time

    def wall_ms(self) -> float:
        return WALL_MS + self.time * 1000.0


def queue(name: str = "q", priority: int = 0, advice: AdviceTerms | None = None) -> Queue:
    return Queue("host", f"/{name}/", QueueTerms(name, "pool", priority, 3, 2.0, 1000.0, advice))


def spec(*steps: StepSpec) -> JobSpec:
    return JobSpec("payload", steps)


class Rig:
    """A scheduler with VMs that answer immediately, and only when the test says so."""

    def __init__(
        self,
        vms: int = 2,
        epoch: int = 1,
        queues: tuple[Queue, ...] = (),
        organisations: tuple[Organisation, ...] = (),
    ) -> None:
        self.clock = Clock()
        self.configuration = Configuration(
            1, queues or (queue(),), keyed=bool(organisations), organisations=organisations
        )
        self.scheduler = JobScheduler(JobSettings(cap_overage=0.1), epoch, self.clock)
        self.store: dict[str, bytes] = {}
        self.actions: list[Action] = []
        self.vm_names: list[str] = []
        self.running: dict[str, list[RunReport]] = {}
        self.completions: dict[str, list[CompletionReport]] = {}
        self.records_at_once = True
        """Whether the store immediately takes the records that a start waits for."""
        self.scheduler.apply_configuration(self.configuration)
        self.scheduler.load([])
        self.add_vms(vms)
        self.commit()

    def add_vms(self, count: int) -> None:
        self.add_entries(count)
        self.report_all()

    def add_entries(self, count: int) -> None:
        for _ in range(count):
            number = len(self.vm_names)
            labels = ("a" if number % 2 else "b", f"r{number // 2}")
            self.vm_names.append(f"w{number}")
            info = VmInfo(f"w{number}", f"a{number}", "pool", CAPACITY, labels)
            self.scheduler.update_vm(info)

    # -- What happens ------------------------------------------------------------------------

    def report(self, vm: str) -> None:
        clock_ms = self.clock.time * 1000.0
        running = tuple(self.running.get(vm, ()))
        ended = tuple(self.completions.get(vm, ()))
        self.scheduler.update_time()
        self.scheduler.vm_reported(VmReport(vm, self.clock.time, clock_ms, running, ended))

    def report_all(self) -> None:
        for vm in self.vm_names:
            self.report(vm)

    def tick(self, seconds: float = 0.01) -> list[Action]:
        self.clock.time += seconds
        self.scheduler.update_time()
        actions = self.scheduler.tick()
        if self.records_at_once and self.scheduler.starts.has_pending():
            self.commit()
            actions += self.scheduler.tick()
        polled = [action.vm for action in actions if isinstance(action, PollVm)]
        for vm in sorted(set(polled) & set(self.vm_names)):
            self.report(vm)
        if polled:
            actions += self.scheduler.tick()
        self.actions += actions
        return actions

    def wait(self, seconds: float) -> list[Action]:
        """Let time pass, deliver a report of every VM, and run the systems."""
        self.clock.time += seconds
        self.report_all()
        return self.tick()

    def commit(self) -> Batch:
        batch = self.scheduler.next_batch()
        self.store_batch(batch)
        return batch

    def store_batch(self, batch: Batch) -> None:
        """Let the store take a batch, and answer."""
        for record in batch.records:
            if record.value:
                self.store[record.key] = record.value
            else:
                self.store.pop(record.key, None)
        self.scheduler.batch_stored(batch)

    def accept(
        self, name: str, job: JobSpec, to_queue: Queue | None = None, organisation: str = ""
    ) -> JobRow:
        self.scheduler.submit(name, to_queue or queue(), job, organisation)
        self.commit()
        return self.scheduler.state.jobs[name]

    def started(self) -> list[StartRun]:
        return [action for action in self.actions if isinstance(action, StartRun)]

    def stopped(self) -> list[StopRun]:
        return [action for action in self.actions if isinstance(action, StopRun)]

    def advice_calls(self) -> list[AskAdvice]:
        return [action for action in self.actions if isinstance(action, AskAdvice)]

    def hold(self, start: StartRun, percent: float = 0.0) -> None:
        """Let a VM hold a run that it was requested to start."""
        rows = self.running.setdefault(start.vm, [])
        rows[:] = [row for row in rows if row.task != start.task]
        rows.append(RunReport(start.task, start.run, "", percent))

    def hold_all(self, percent: float = 0.0) -> None:
        """Let the VMs hold all runs that they were requested to start, and report."""
        for start in self.started():
            self.hold(start, percent)
        self.report_all()

    def start_and_hold_all(self) -> None:
        """Start everything that fits and let the VMs hold it, with health checks switched off.

        Runs make no progress here, which the health checks would take for a fault.
        """
        self.scheduler.health.run = lambda: None  # type: ignore[method-assign]
        self.tick()
        self.hold_all()
        self.tick()

    def complete(self, start: StartRun, outcome: str, saved: str = "") -> None:
        """Let a run end on its VM."""
        rows = self.running.setdefault(start.vm, [])
        rows[:] = [row for row in rows if row.task != start.task]
        ends = self.completions.setdefault(start.vm, [])
        ends.append(CompletionReport(len(ends) + 1, start.task, start.run, outcome, saved))

    def successor(self) -> "Rig":
        """Return the rig of a later leader that has loaded the contents of the store."""
        configuration = self.configuration
        other = Rig(
            0,
            self.scheduler.state.epoch + 1,
            configuration.queues,
            configuration.organisations,
        )
        other.clock.time = self.clock.time
        other.running = self.running
        other.completions = self.completions
        other.vm_names = list(self.vm_names)
        other.scheduler.update_time()
        other.scheduler.load([Record(key, value) for key, value in self.store.items()])
        for row in self.scheduler.state.vms.values():
            other.scheduler.update_vm(row.info)
        return other
