"""Renewal: one poll per VM and interval renews leases, sends commands and lists the runs."""

import heapq

from sablemount.core.actions import CommandKind, Poll, RunCommand
from sablemount.core.state import State
from sablemount.core.tables import HoldState, RunRow, RunStage, VmRow, VmStage

__all__ = ["Renewal"]

IDLE_FACTOR = 1.5
"""Factor on the poll interval of a VM without work."""
RENEWED_STAGES = frozenset(
    {RunStage.STARTING, RunStage.RUNNING, RunStage.UNCERTAIN, RunStage.STOPPING}
)


class Renewal:
    """Polls the VMs of the held shards."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._due: list[tuple[float, str]] = []
        self._scheduled: set[str] = set()

    def run(self) -> None:
        """Poll the VMs that are due."""
        self._schedule_new()
        state = self._state
        while self._due and self._due[0][0] <= state.now:
            _, vm = heapq.heappop(self._due)
            self._scheduled.discard(vm)
            row = state.vms.get(vm)
            if row is not None and row.shard in state.held_shards:
                self._poll_due(row)

    def poll_urgently(self) -> None:
        """Poll the VMs that have been marked for an urgent poll."""
        for shard in self._state.held_shards:
            for row in self._state.shard_vms[shard].values():
                if row.urgent_poll and not row.poll_in_flight:
                    self._poll(row)

    def _schedule_new(self) -> None:
        state = self._state
        for shard, held in state.held_shards.items():
            if held.state is HoldState.WAITING:
                continue
            rows = state.shard_vms[shard]
            if rows.keys() <= self._scheduled:
                continue
            for vm in rows:
                if vm not in self._scheduled:
                    self._push(vm, state.now)

    def _push(self, vm: str, when: float) -> None:
        self._scheduled.add(vm)
        heapq.heappush(self._due, (when, vm))

    def _poll_due(self, row: VmRow) -> None:
        interval = self._state.settings.renew_interval
        busy = bool(row.runs or row.orphans or row.requests or row.foreign_slots)
        jitter = 0.9 + 0.2 * self._state.rng.random()
        self._push(row.vm, self._state.now + interval * jitter * (1.0 if busy else IDLE_FACTOR))
        if not row.poll_in_flight:
            self._poll(row)

    def _poll(self, row: VmRow) -> None:
        state = self._state
        limit = state.lease_until + state.settings.renew_grace
        if state.now >= limit:
            return
        row.poll_in_flight = True
        row.urgent_poll = False
        state.meter.count("polls")
        state.emit(
            Poll(
                vm=row.vm,
                renew=self._runs_to_renew(row),
                acknowledge=tuple(row.acknowledge),
                commands=self._commands(row),
                lease=state.settings.run_lease,
                not_after=limit,
            )
        )

    def _runs_to_renew(self, row: VmRow) -> tuple[str, ...]:
        """Return the runs to renew; the leases of a lost VM are left to expire."""
        if row.stage is VmStage.LOST:
            return ()
        runs = self._state.runs
        return tuple(run for run in row.runs if runs[run].stage in RENEWED_STAGES)

    def _commands(self, row: VmRow) -> tuple[RunCommand, ...]:
        """Return the commands; each is repeated until the worker reports its effect."""
        if not self._state.has_lease():
            return ()
        commands = [RunCommand(run, kind) for run, kind in row.commands.items()]
        commands.extend(RunCommand(run, CommandKind.STOP) for run in row.orphans)
        return tuple(commands)

    def extend_lease_bound(self, run: RunRow) -> None:
        """Extend the latest time until which the worker may hold a run's lease."""
        settings = self._state.settings
        lease = settings.run_lease * (1 + settings.drift) + settings.settle
        run.lease_ends_by = self._state.now + lease
