"""No more tasks of a step run on a VM than its spread allows, those being stopped included."""

import pytest

from sablemount.jobs.actions import RunReport, StartRun, StopRun
from sablemount.jobs.model import StepSpec
from tests.jobs.rig import CORE, Rig, spec

STEP_S = 0.05
STOP_TIME_S = 0.3
"""Seconds that a VM takes to stop a run."""
LEASES_OVER_S = 10.0
"""Seconds of silence after which all leases of a VM are over."""
FOUND_RUN = 5
SPREADS = pytest.mark.parametrize("spread", [1, 2, 3])


class Player:
    """Carries out all starts and stops of a rig, and records the starts beyond a spread."""

    def __init__(self, rig: Rig, spread: int) -> None:
        rig.scheduler.health.run = lambda: None  # type: ignore[method-assign]
        self.rig = rig
        self.spread = spread
        self.beyond: list[str] = []
        self._stops: list[tuple[float, StopRun]] = []

    def play(self, seconds: float) -> None:
        """Let time pass, beside a store that answers at once."""
        for _ in range(round(seconds / STEP_S)):
            self._end_stopped()
            self.rig.commit()
            for action in self.rig.wait(STEP_S):
                if isinstance(action, StartRun):
                    self._start(action)
                elif isinstance(action, StopRun):
                    self._stops.append((self.rig.clock.time + STOP_TIME_S, action))

    def tasks_on(self, vm: str) -> set[str]:
        return {row.task for row in self.rig.running.get(vm, ())}

    def end_all(self, vm: str) -> None:
        """Let all that runs on a VM be done."""
        for row in list(self.rig.running.get(vm, ())):
            self.rig.complete(StartRun(vm, row.task, row.run, "", 0.0), "done")

    def _start(self, start: StartRun) -> None:
        self.rig.hold(start)
        count = len(self.tasks_on(start.vm))
        if count > self.spread:
            self.beyond.append(f"{start.task} on {start.vm}: {count} of {self.spread}")

    def _end_stopped(self) -> None:
        now = self.rig.clock.time
        due = [stop for at, stop in self._stops if at <= now]
        self._stops = [(at, stop) for at, stop in self._stops if at > now]
        for stop in due:
            if stop.task in self.tasks_on(stop.vm):
                self.rig.complete(StartRun(stop.vm, stop.task, stop.run, "", 0.0), "stopped")


def _play_until_tasks_run_again(spread: int) -> Player:
    """Play until the tasks of ``w0``, which is silent, run on ``w1``, while more of them wait.

    The tasks are done at ``w0``.
    """
    player = Player(Rig(2), spread)
    player.rig.accept("job", spec(StepSpec(4 * spread, CORE, 30_000.0, spread=spread)))
    player.play(1.0)
    lost = player.tasks_on("w0")
    player.rig.vm_names.remove("w0")
    player.play(LEASES_OVER_S)
    player.end_all("w0")
    player.end_all("w1")
    player.play(0.5)
    assert player.tasks_on("w1") == lost
    return player


@SPREADS
def test_no_task_joins_runs_being_stopped_as_their_tasks_ended_on_a_vm_that_was_silent(
    spread: int,
) -> None:
    player = _play_until_tasks_run_again(spread)
    player.rig.vm_names.append("w0")
    player.play(2.0)
    assert player.beyond == []
    assert len(player.rig.started()) == 5 * spread


@SPREADS
def test_no_task_joins_runs_that_a_later_leader_finds_and_does_not_want(spread: int) -> None:
    player = _play_until_tasks_run_again(spread)
    player.rig.report("w0")
    player.rig.commit()
    player.rig.vm_names.append("w0")
    later = Player(player.rig.successor(), spread)
    later.play(6.0)
    assert later.beyond == []
    assert len(later.rig.started()) == 2 * spread


@SPREADS
def test_a_start_that_waits_for_the_store_is_not_made_beside_runs_found_meanwhile(
    spread: int,
) -> None:
    player = Player(Rig(1), spread)
    rig = player.rig
    rig.records_at_once = False
    job = rig.accept("job", spec(StepSpec(2 * spread, CORE, 30_000.0, spread=spread)))
    tasks = job.steps[(0, 0)].tasks
    for task in tasks[:spread]:
        task.crashes = ["gone"]
    rig.tick()
    assert [len(task.runs) for task in tasks] == [1] * spread + [0] * spread
    assert rig.started() == []
    rig.running["w0"] = [RunReport(task.key, FOUND_RUN, "", 0.0) for task in tasks[spread:]]
    rig.report("w0")
    rig.records_at_once = True
    player.play(2.0)
    assert player.beyond == []
    player.end_all("w0")
    player.play(2.0)
    assert player.beyond == []
    assert {start.task for start in rig.started()} == {task.key for task in tasks[:spread]}
