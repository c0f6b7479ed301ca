"""One leadership: loads the persistent state, then runs the job scheduler until it ends."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from functools import partial

import msgspec

from sablemount.control.advice_calls import AdviceCalls
from sablemount.control.authority import AUTHORITY_LIMIT, AUTHORITY_TIME, Authority
from sablemount.control.background import Background
from sablemount.control.callers import CallerService
from sablemount.control.clock import LoopClock, monotonic, set_within
from sablemount.control.commit import AppendAbandoned, Committer, LostLeadership
from sablemount.control.commit_loop import CommitLoop
from sablemount.control.configuration_feed import ConfigurationFeed
from sablemount.control.figures import Metrics
from sablemount.control.follow import Follower
from sablemount.control.load import Load, LoadProgress
from sablemount.control.members import Members
from sablemount.control.messages import CallerCall, CallerReply, Outcome
from sablemount.control.ports import AdvicePort, DirectoryCodec, VmPort
from sablemount.control.preload import Reading
from sablemount.control.roster import Roster
from sablemount.control.store import PageItem, Store, Topic
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import Action, LookAt, PaceRun, StartRun, StopRun
from sablemount.jobs.model import Configuration
from sablemount.jobs.records import Record
from sablemount.jobs.scheduler import JobScheduler
from sablemount.jobs.settings import JobSettings
from sablemount.structured_logs import RUN_LOGGER

__all__ = ["Leader", "LeaderPorts"]

TICK_INTERVAL_S = 0.05
"""Seconds between ticks when no event occurs."""
COALESCE_DELAY_S = 0.004
"""Seconds that an event waits for further events before the systems run."""
RELIST_INTERVAL_S = 1.0
"""Seconds after which lists are read anew: a record may be dropped before it was read."""
DRAIN_TIMEOUT_S = 0.5
"""Seconds that a planned handover waits for appends at most: 100 times the usual duration of
one."""
DRAIN_POLL_INTERVAL_S = 0.005
"""Seconds between checks whether these appends are done: about the duration of one."""

_logger = logging.getLogger("sablemount.control.leader")
_run_logger = logging.getLogger(RUN_LOGGER)


class LeaderPorts:
    """The adapters that a leader uses."""

    def __init__(
        self, store: Store, vms: VmPort, advice: AdvicePort, codec: DirectoryCodec
    ) -> None:
        self.store = store
        self.vms = vms
        self.advice = advice
        self.codec = codec


class Leader:
    """The leadership of one epoch."""

    def __init__(
        self,
        name: str,
        epoch: int,
        ports: LeaderPorts,
        settings: JobSettings,
        rng: random.Random,
        metrics: Metrics,
        feed: ConfigurationFeed,
        preload_task: "asyncio.Task[Reading | None] | None" = None,
        membership_list: Roster | None = None,
        cell: int = 0,
        load_progress: LoadProgress | None = None,
        uplink: float = 0.0,
    ) -> None:
        self.name = name
        self._preload_task = preload_task
        self.progress = load_progress or LoadProgress()
        """Progress of the load."""
        self.progress.begin()
        self._load_task: asyncio.Task[None] | None = None
        self.epoch = epoch
        self.ports = ports
        self.figures = metrics
        self.members = Members(cell)
        self._background = Background(self._on_error)
        self._began_at = self._confirmed_at = monotonic()
        self.roster = membership_list or Roster({})
        self._feed = feed
        self.scheduler = JobScheduler(settings, epoch, LoopClock())
        self.scheduler.reconcile.on_outcome = self._count_completion
        self.scheduler.vms.on_next_life = partial(metrics.count, "next_life")
        self.scheduler.starts.on_noted = partial(metrics.observe, "note_start")
        self.committer = Committer(ports.store, epoch, rng, uplink)
        self.commits = CommitLoop(
            self.scheduler, self.committer, metrics, self._on_confirmed, self._background.keep
        )
        self._authority = Authority(
            lambda: self.committer.confirmed_at, self.members.stand_in, self.commits.request_commit
        )
        self.calls = VmCalls(
            self.scheduler,
            ports.vms,
            epoch,
            self.authority,
            self._on_fenced,
            self.kick,
            self.commits.when_recorded,
        )
        self._advice = AdviceCalls(
            name, self.scheduler.advice, ports.advice, self.members, metrics, self._on_advice
        )
        self.callers = CallerService(
            self.scheduler, self.commits, self._accepts_calls, self._confirmed_recently, self.kick
        )
        self.leading = False
        self.over = asyncio.Event()
        self.why = ""
        self.closing = False
        self._wake_requested = asyncio.Event()
        self._unsubscribe: Callable[[], None] = lambda: None
        self._deferred_updates: list[Callable[[], None]] | None = []
        """Updates of the VM list that arrived before the load was complete; the loaded records show
        which VMs were in use."""

    # -- Lifecycle ---------------------------------------------------------------------------

    async def run(self) -> str:
        """Lead until the leadership ends; return the reason."""
        try:
            # The store may be slow, and these reads do not depend on each other.
            self._start_followers()
            tick_task = self._background.spawn(self._tick_while_loading())
            loaded = await self._load()
            tick_task.cancel()
            if loaded:
                self._start_leading()
                await self.over.wait()
        finally:
            self.leading = False
            self._close()
        _logger.info("leadership ended", extra={"epoch": self.epoch, "why": self.why})
        return self.why

    def _start_leading(self) -> None:
        self._apply_deferred_updates()
        self.leading = True
        _logger.info("leading", extra={"epoch": self.epoch, **self._counts()})
        self._background.spawn(self.commits.run())
        self._background.spawn(self._tick_forever())

    def end(self, reason: str) -> None:
        """End the leadership for a reason; no request is sent to a VM from now on."""
        if not self.over.is_set():
            self.why = reason
            self.leading = False
            self.over.set()
            if self._load_task is not None:
                self._load_task.cancel()

    async def drain(self) -> None:
        """Accept no more calls, and wait briefly until the accepted ones are in the store."""
        self.closing = True
        deadline = monotonic() + DRAIN_TIMEOUT_S
        while self.commits.is_busy() and monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _close(self) -> None:
        self._unsubscribe()
        self.calls.close()
        self._background.close()
        self.commits.close()

    def _count_completion(self, outcome: str) -> None:
        self.figures.count("end", outcome)

    def _counts(self) -> dict[str, int | None]:
        state = self.scheduler.state
        counts = {"jobs": len(state.jobs), "live": len(state.live), "vms": len(state.vms)}
        return {"end": self.committer.end_offset, **counts}

    async def _load(self) -> bool:
        """Load the persistent state; return whether that is complete before the leadership ends."""
        load = Load(self.epoch, self.ports.store, self.progress, self.figures)
        self._load_task = self._background.spawn(self._load_records(load))
        await asyncio.wait([self._load_task])
        if self.over.is_set():
            load.given_up()
        return not self.over.is_set()

    async def _load_records(self, load: Load) -> None:
        records = await load.run(self.committer, self._preload_task)
        self.scheduler.now()
        self.scheduler.load(records)

    def _start_followers(self) -> None:
        self._unsubscribe = self._feed.subscribe(self._on_configuration)
        vms = Follower(
            self.ports.store,
            Topic.VMS,
            self._on_vm_list,
            self._on_vm_records,
            RELIST_INTERVAL_S,
            self.scheduler.rooms_known,
        )
        self.scheduler.rooms_known(monotonic())
        self._background.spawn(vms.run())

    def _on_error(self, error: BaseException) -> None:
        """End the leadership because of an exception in one of its tasks."""
        if isinstance(error, LostLeadership | AppendAbandoned):
            self.end(str(error))
            return
        _logger.error("internal error, leadership ends", exc_info=error)
        self.end("internal error")

    # -- Authority ---------------------------------------------------------------------------

    def authority(self) -> bool:
        """Return whether requests may be sent to VMs now."""
        return self.leading and not self.over.is_set() and self._authority.holds()

    def store_age(self) -> float:
        """Return the seconds since the store last confirmed the leadership."""
        return self._authority.store_age()

    def _confirmed_recently(self) -> bool:
        return self.store_age() < AUTHORITY_TIME

    def _on_confirmed(self, asked_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self._authority.confirmed(asked_at)
        self.kick()

    def _accepts_calls(self) -> bool:
        return not self.closing and self.authority()

    def _on_fenced(self, vm: str) -> None:
        self.end(f"VM {vm} has seen a later leader")

    # -- Time --------------------------------------------------------------------------------

    def kick(self) -> None:
        """Request that the systems run soon."""
        self._wake_requested.set()

    def _on_advice(self) -> None:
        self.scheduler.now()
        self.kick()

    async def _tick_forever(self) -> None:
        duration = 0.0
        while True:
            await set_within(self._wake_requested, TICK_INTERVAL_S)
            # However much there is to decide, half of the time is left to other tasks. A longer run
            # may include a pause of the process.
            await asyncio.sleep(min(TICK_INTERVAL_S, max(COALESCE_DELAY_S, duration)))
            self._wake_requested.clear()
            began = monotonic()
            self._tick()
            duration = monotonic() - began

    async def _tick_while_loading(self) -> None:
        """Keep ticking, so that a long load is not mistaken for a pause of the process."""
        while True:
            self._authority.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        self._authority.tick()
        self.scheduler.now()
        self._update_members()
        self.scheduler.advice.set_lanes({self.name} | self.members.heard())
        if self.authority():
            can_record = not self.commits.is_store_silent()
            for action in self.scheduler.tick(can_record, self._confirmed_at):
                self._execute(action)
            self.calls.poll_new_vms()
        if self.scheduler.journal.pending():
            self.commits.request_commit()
        if self.scheduler.placement.unfinished:
            self.kick()

    def _update_members(self) -> None:
        if self._confirmed_recently():
            self.members.count()
        if not self.members.majority() and monotonic() - self._began_at < AUTHORITY_LIMIT:
            # Members that have not connected may still substitute for the store at a previous
            # leader, which then extends the leases of VMs that do not report here.
            self.scheduler.vms.former_may_order()

    def _execute(self, action: Action) -> None:
        if isinstance(action, StartRun):
            self.figures.count("start")
            self.calls.start(action)
        elif isinstance(action, StopRun):
            extra = {"task": action.task, "run": action.run, "vm": action.vm}
            _run_logger.info("stop", extra=extra)
            self.figures.count("stop")
            self.calls.stop(action)
        elif isinstance(action, PaceRun):
            self.figures.count("pace")
            self.calls.throttle(action)
        elif isinstance(action, LookAt):
            self.figures.count("look_at_once")
            self.calls.poll_now(action)
        else:
            self._background.spawn(self._advice.ask(action))

    # -- The directory -----------------------------------------------------------------------

    def _apply_deferred_updates(self) -> None:
        """Apply the updates of the VM list that arrived while records were being loaded."""
        deferred = self._deferred_updates or []
        self._deferred_updates = None
        for apply_update in deferred:
            apply_update()

    def _on_configuration(self, configuration: Configuration) -> None:
        self.scheduler.now()
        if self.scheduler.configured(configuration):
            self.kick()

    def _on_vm_list(self, items: Sequence[PageItem], end: int) -> None:
        if self._deferred_updates is not None:
            self._deferred_updates.append(partial(self._on_vm_list, items, end))
            return
        self.scheduler.now()
        infos = [self.ports.codec.vm(item.record) for item in items]
        self.scheduler.listed([info for info in infos if info is not None])
        self.kick()

    def _on_vm_records(self, records: Sequence[Record], end: int) -> None:
        if self._deferred_updates is not None:
            self._deferred_updates.append(partial(self._on_vm_records, records, end))
            return
        self.scheduler.now()
        for record in records:
            info = self.ports.codec.vm(record)
            if info is not None:
                self.scheduler.told(info)
            else:
                # Deleted, or replaced by a record that does not describe a VM.
                self.scheduler.left_list(record.key)
        self.kick()

    # -- Callers -----------------------------------------------------------------------------

    async def serve(self, call: CallerCall) -> CallerReply:
        """Answer a caller's request."""
        began = monotonic()
        reply = await self.callers.serve(call)
        self.figures.observe(f"call_{call.operation.name.lower()}", monotonic() - began)
        self.figures.count(call.operation.name.lower(), reply.outcome.name.lower())
        if reply.outcome is Outcome.DONE:
            return reply
        return msgspec.structs.replace(reply, epoch=self.epoch)
