"""No more tasks of a step run on a VM than its spread allows, those being stopped included."""

import pytest

from sablemount.jobs.actions import StartRun, StopRun
from sablemount.jobs.model import StepSpec
from tests.jobs.rig import CORE, Rig, spec

STEP_S = 0.05
STOP_TIME_S = 0.3
"""Seconds that a VM takes to stop a run."""
LEASES_OVER_S = 10.0
"""Seconds of silence after which all leases of a VM are over."""
SPREADS = pytest.mark.parametrize("spread", [1, 2, 3])


class SpreadRig(Rig):
    """VMs that carry out all starts and stops; records the starts beyond a step's spread."""

    def __init__(self, vms: int, spread: int) -> None:
        super().__init__(vms)
        self.scheduler.health.run = lambda: None  # type: ignore[method-assign]
        self.spread = spread
        self.beyond: list[str] = []
        self._stops: list[tuple[float, StopRun]] = []

    def play(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self._end_stopped()
            for action in self.wait(STEP_S):
                if isinstance(action, StartRun):
                    self._start(action)
                elif isinstance(action, StopRun):
                    self._stops.append((self.clock.time + STOP_TIME_S, action))

    def tasks_on(self, vm: str) -> set[str]:
        return {row.task for row in self.running.get(vm, ())}

    def _start(self, start: StartRun) -> None:
        self.hold(start)
        count = len(self.tasks_on(start.vm))
        if count > self.spread:
            self.beyond.append(f"{start.task} on {start.vm}: {count} of {self.spread}")

    def _end_stopped(self) -> None:
        due = [stop for at, stop in self._stops if at <= self.clock.time]
        self._stops = [(at, stop) for at, stop in self._stops if at > self.clock.time]
        for stop in due:
            if stop.task in self.tasks_on(stop.vm):
                self.complete(StartRun(stop.vm, stop.task, stop.run, "", 0.0), "stopped")

    def end_all(self, vm: str) -> None:
        """Let all that runs on a VM be done."""
        for row in list(self.running.get(vm, ())):
            self.complete(StartRun(vm, row.task, row.run, "", 0.0), "done")


def _rig_where_tasks_run_again(spread: int) -> SpreadRig:
    """Return a rig where the tasks of a VM that is silent run on the other one, as more wait.

    The VM that is silent is ``w0``, where the tasks are done.
    """
    rig = SpreadRig(2, spread)
    rig.accept("job", spec(StepSpec(4 * spread, CORE, 30_000.0, spread=spread)))
    rig.play(1.0)
    lost = rig.tasks_on("w0")
    rig.vm_names.remove("w0")
    rig.play(LEASES_OVER_S)
    rig.end_all("w0")
    rig.end_all("w1")
    rig.play(0.5)
    assert rig.tasks_on("w1") == lost
    return rig


@SPREADS
def test_no_task_joins_runs_being_stopped_as_their_tasks_ended_on_a_vm_that_was_silent(
    spread: int,
) -> None:
    rig = _rig_where_tasks_run_again(spread)
    rig.vm_names.append("w0")
    rig.play(2.0)
    assert rig.beyond == []
    assert len(rig.started()) == 5 * spread
