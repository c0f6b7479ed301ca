"""One leadership: loads the persistent state, then runs the job scheduler until it ends."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from functools import partial

import msgspec

from sablemount.control.advice_calls import AdviceCalls
from sablemount.control.authority import AUTHORITY_VALIDITY_S, MAJORITY_AUTHORITY_LIMIT_S, Authority
from sablemount.control.background import Background
from sablemount.control.callers import CallerService
from sablemount.control.clock import LoopClock, monotonic, wait_for_event
from sablemount.control.commit import AppendAbandoned, Committer, LostLeadership
from sablemount.control.commit_loop import CommitLoop
from sablemount.control.configuration_feed import ConfigurationFeed
from sablemount.control.figures import Metrics
from sablemount.control.follow import Follower
from sablemount.control.load import Load, LoadProgress
from sablemount.control.members import Members
from sablemount.control.messages import CallerCall, CallerReply, Outcome
from sablemount.control.ports import AdvicePort, DirectoryCodec, VmPort
from sablemount.control.preload import JobsSnapshot
from sablemount.control.roster import MembershipList
from sablemount.control.store import PageItem, Store, Topic
from sablemount.control.vm_calls import VmCalls
from sablemount.jobs.actions import Action, PollVm, StartRun, StopRun, ThrottleRun
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
"""Seconds after which VM records are listed anew: one may be dropped before it was read."""
DRAIN_TIMEOUT_S = 0.5
"""Seconds that a planned handover waits for appends at most: 100 times the time of a usual one."""
DRAIN_POLL_INTERVAL_S = 0.005
"""Seconds between checks whether these appends are done: about the duration of one."""
UNSERVED = "unserved"
"""Label of submissions that are not taken because no VM can run the job."""

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
        preload_task: "asyncio.Task[JobsSnapshot | None] | None" = None,
        membership_list: MembershipList | None = None,
        cell: int = 0,
        load_progress: LoadProgress | None = None,
        uplink: float = 0.0,
    ) -> None:
        self.name = name
        self._preload_task = preload_task
        self.load_progress = load_progress or LoadProgress()
        """Progress of the load."""
        self.load_progress.start_leadership()
        self._load_task: asyncio.Task[None] | None = None
        self.epoch = epoch
        self.ports = ports
        self.metrics = metrics
        self.members = Members(cell)
        self._background = Background(self._on_error)
        self._began_at = self._confirmed_at = monotonic()
        self.membership_list = membership_list or MembershipList({})
        self._feed = feed
        self.scheduler = JobScheduler(settings, epoch, LoopClock())
        self.scheduler.reconcile.on_outcome = self._count_completion
        self.scheduler.vms.on_next_incarnation = partial(metrics.count, "next_life")
        self.scheduler.leases.on_event = partial(metrics.count, "lease")
        self.scheduler.state.on_beyond_spread = partial(metrics.count, "beyond_spread")
        self.scheduler.starts.on_recorded = partial(metrics.observe, "note_start")
        self.committer = Committer(ports.store, epoch, rng, uplink)
        self.commit_loop = CommitLoop(
            self.scheduler, self.committer, metrics, self._on_confirmed, self._background.track
        )
        self._authority = Authority(
            lambda: self.committer.confirmed_at,
            self.members.has_counted_majority,
            self.commit_loop.request_commit,
        )
        self.vm_calls = VmCalls(
            self.scheduler,
            ports.vms,
            epoch,
            self.has_authority,
            self._on_fenced,
            self.wake,
            self.commit_loop.when_recorded,
            metrics,
        )
        self._advice = AdviceCalls(
            name, self.scheduler.advice, ports.advice, self.members, metrics, self._on_advice
        )
        self.callers = CallerService(
            self.scheduler,
            self.commit_loop,
            self._accepts_calls,
            self._confirmed_recently,
            self.wake,
        )
        self.leading = False
        self.ended = asyncio.Event()
        self.end_reason = ""
        self.draining = False
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
                await self.ended.wait()
        finally:
            self.leading = False
            self._close()
        _logger.info("leadership ended", extra={"epoch": self.epoch, "why": self.end_reason})
        return self.end_reason

    def _start_leading(self) -> None:
        self._apply_deferred_updates()
        self.leading = True
        _logger.info("leading", extra={"epoch": self.epoch, **self._counts()})
        self._background.spawn(self.commit_loop.run())
        self._background.spawn(self._tick_forever())

    def end(self, reason: str) -> None:
        """End the leadership for a reason; no request is sent to a VM from now on."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.leading = False
            self.ended.set()
            if self._load_task is not None:
                self._load_task.cancel()

    async def drain(self) -> None:
        """Accept no more calls, and wait briefly until the accepted ones are in the store."""
        self.draining = True
        deadline = monotonic() + DRAIN_TIMEOUT_S
        while self.commit_loop.is_busy() and monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _close(self) -> None:
        self._unsubscribe()
        self.vm_calls.close()
        self.ports.vms.close_connections()
        self._background.close()
        self.commit_loop.close()

    def _count_completion(self, outcome: str) -> None:
        self.metrics.count("end", outcome)

    def _counts(self) -> dict[str, int | None]:
        state = self.scheduler.state
        counts = {"jobs": len(state.jobs), "live": len(state.open_jobs), "vms": len(state.vms)}
        return {"end": self.committer.end_offset, **counts}

    async def _load(self) -> bool:
        """Load the persistent state; return whether that is complete before the leadership ends."""
        load = Load(self.epoch, self.ports.store, self.load_progress, self.metrics)
        self._load_task = self._background.spawn(self._load_records(load))
        await asyncio.wait([self._load_task])
        if self.ended.is_set():
            load.log_abandoned()
        return not self.ended.is_set()

    async def _load_records(self, load: Load) -> None:
        records = await load.run(self.committer, self._preload_task)
        self.scheduler.update_time()
        # The process answers its members meanwhile, however many jobs there are.
        for _ in self.scheduler.load_in_parts(records):
            await asyncio.sleep(0)

    def _start_followers(self) -> None:
        self._unsubscribe = self._feed.subscribe(self._on_configuration)
        vm_follower = Follower(
            self.ports.store,
            Topic.VMS,
            self._on_vm_list,
            self._on_vm_records,
            RELIST_INTERVAL_S,
            self.scheduler.entries_read,
        )
        self.scheduler.entries_read(monotonic())
        self._background.spawn(vm_follower.run())

    def _on_error(self, error: BaseException) -> None:
        """End the leadership because of an exception in one of its tasks."""
        if isinstance(error, LostLeadership | AppendAbandoned):
            self.end(str(error))
            return
        _logger.error("internal error, leadership ends", exc_info=error)
        self.end("internal error")

    # -- Authority ---------------------------------------------------------------------------

    def has_authority(self) -> bool:
        """Return whether requests may be sent to VMs now."""
        return self.leading and not self.ended.is_set() and self._authority.holds()

    def store_age(self) -> float:
        """Return the seconds since the store last confirmed the leadership."""
        return self._authority.store_age()

    def _confirmed_recently(self) -> bool:
        return self.store_age() < AUTHORITY_VALIDITY_S

    def _on_confirmed(self, asked_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self._authority.on_confirmed(asked_at)
        self.wake()

    def _accepts_calls(self) -> bool:
        return not self.draining and self.has_authority()

    def _on_fenced(self, vm: str) -> None:
        self.end(f"VM {vm} has seen a later leader")

    # -- Time --------------------------------------------------------------------------------

    def wake(self) -> None:
        """Request that the systems run soon."""
        self._wake_requested.set()

    def _on_advice(self) -> None:
        self.scheduler.update_time()
        self.wake()

    async def _tick_forever(self) -> None:
        duration = 0.0
        while True:
            await wait_for_event(self._wake_requested, TICK_INTERVAL_S)
            # However much there is to decide, half of the time is left to other tasks. A longer run
            # may include a pause of the process.
            await asyncio.sleep(min(TICK_INTERVAL_S, max(COALESCE_DELAY_S, duration)))
            self._wake_requested.clear()
            began = monotonic()
            self._tick()
            duration = monotonic() - began
            self.metrics.observe("tick", duration)

    async def _tick_while_loading(self) -> None:
        """Keep ticking, so that a long load is not mistaken for a pause of the process."""
        while True:
            self._authority.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        self._authority.tick()
        self.scheduler.update_time()
        self._update_members()
        self.scheduler.advice.set_call_slots({self.name} | self.members.recently_heard())
        if self.has_authority():
            can_record = not self.commit_loop.is_store_silent()
            for action in self.scheduler.tick(can_record, self._confirmed_at):
                self._execute(action)
            self.vm_calls.poll_new_vms()
        if self.scheduler.journal.has_pending():
            self.commit_loop.request_commit()
        if self.scheduler.placement.has_untried_steps:
            self.wake()

    def _update_members(self) -> None:
        if self._confirmed_recently():
            self.members.update_count()
        if (
            not self.members.has_majority()
            and monotonic() - self._began_at < MAJORITY_AUTHORITY_LIMIT_S
        ):
            # Members that have not connected may still substitute for the store at a previous
            # leader, which then extends the leases of VMs that do not report here.
            self.scheduler.leases.previous_leader_may_extend()

    def _execute(self, action: Action) -> None:
        if isinstance(action, StartRun):
            self.metrics.count("start")
            self.vm_calls.start(action)
        elif isinstance(action, StopRun):
            extra = {"task": action.task, "run": action.run, "vm": action.vm}
            _run_logger.info("stop", extra=extra)
            self.metrics.count("stop")
            self.vm_calls.stop(action)
        elif isinstance(action, ThrottleRun):
            self.metrics.count("pace")
            self.vm_calls.throttle(action)
        elif isinstance(action, PollVm):
            self.metrics.count("look_at_once")
            self.vm_calls.poll_now(action)
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
        self.scheduler.update_time()
        if self.scheduler.apply_configuration(configuration):
            self.wake()

    def _on_vm_list(self, items: Sequence[PageItem], end: int) -> None:
        if self._deferred_updates is not None:
            self._deferred_updates.append(partial(self._on_vm_list, items, end))
            return
        self.scheduler.update_time()
        infos = [self.ports.codec.vm(item.record) for item in items]
        self.scheduler.update_vm_list([info for info in infos if info is not None])
        self.wake()

    def _on_vm_records(self, records: Sequence[Record], end: int) -> None:
        if self._deferred_updates is not None:
            self._deferred_updates.append(partial(self._on_vm_records, records, end))
            return
        self.scheduler.update_time()
        for record in records:
            info = self.ports.codec.vm(record)
            if info is not None:
                self.scheduler.update_vm(info)
            else:
                # Deleted, or replaced by a record that does not describe a VM.
                self.scheduler.entry_removed(record.key)
        self.wake()

    # -- Callers -----------------------------------------------------------------------------

    async def serve(self, call: CallerCall) -> CallerReply:
        """Answer a caller's request."""
        began = monotonic()
        reply = await self.callers.serve(call)
        self.metrics.observe(f"call_{call.operation.name.lower()}", monotonic() - began)
        self.metrics.count(
            call.operation.name.lower(), UNSERVED if reply.unserved else reply.outcome.name.lower()
        )
        if reply.outcome is Outcome.DONE:
            return reply
        return msgspec.structs.replace(reply, epoch=self.epoch)
