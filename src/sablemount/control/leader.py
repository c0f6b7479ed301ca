"""One leadership: loads what lasts, then runs the job scheduler until it is over."""

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

TICK = 0.05
"""Seconds between ticks when nothing happens."""
COALESCE = 0.004
"""Seconds that an event waits for others before the systems run."""
FRESH_START = 1.0
"""Seconds after which lists are read anew: a record may be dropped before it was read."""
DRAIN_TIME = 0.5
"""Seconds that a planned hand-over waits for appends at most: 100 times a usual one."""
DRAIN_POLL = 0.005
"""Seconds between looks at whether these are done: about the time of an append."""

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
    """Leads under one epoch."""

    def __init__(
        self,
        name: str,
        epoch: int,
        ports: LeaderPorts,
        settings: JobSettings,
        rng: random.Random,
        figures: Metrics,
        feed: ConfigurationFeed,
        reading: "asyncio.Task[Reading | None] | None" = None,
        roster: Roster | None = None,
        cell: int = 0,
        progress: LoadProgress | None = None,
        uplink: float = 0.0,
    ) -> None:
        self.name = name
        self._reading = reading
        self.progress = progress or LoadProgress()
        """How far the load is."""
        self.progress.begin()
        self._loading: asyncio.Task[None] | None = None
        self.epoch = epoch
        self.ports = ports
        self.figures = figures
        self.members = Members(cell)
        self._background = Background(self._failed)
        self._began_at = self._confirmed_at = monotonic()
        self.roster = roster or Roster({})
        self._feed = feed
        self.scheduler = JobScheduler(settings, epoch, LoopClock())
        self.scheduler.reconcile.on_outcome = self._count_end
        self.scheduler.vms.on_next_life = partial(figures.count, "next_life")
        self.scheduler.starts.on_noted = partial(figures.observe, "note_start")
        self.committer = Committer(ports.store, epoch, rng, uplink)
        self.commits = CommitLoop(
            self.scheduler, self.committer, figures, self._confirmed, self._background.keep
        )
        self._authority = Authority(
            lambda: self.committer.confirmed_at, self.members.stand_in, self.commits.request_commit
        )
        self.calls = VmCalls(
            self.scheduler,
            ports.vms,
            epoch,
            self.authority,
            self._fenced_by_vm,
            self.kick,
            self.commits.when_recorded,
        )
        self._advice = AdviceCalls(
            name, self.scheduler.advice, ports.advice, self.members, figures, self._woken
        )
        self.callers = CallerService(
            self.scheduler, self.commits, self._serves, self._store_is_fresh, self.kick
        )
        self.leading = False
        self.over = asyncio.Event()
        self.why = ""
        self.closing = False
        self._kicked = asyncio.Event()
        self._stop_listening: Callable[[], None] = lambda: None
        self._early: list[Callable[[], None]] | None = []
        """What was read of the VMs before the load, whose records say which were in use."""

    # -- Life --------------------------------------------------------------------------------

    async def run(self) -> str:
        """Lead until it is over; return why it ended."""
        try:
            # The store may take a while, and all that is read does not depend on each other.
            self._follow()
            alive = self._background.spawn(self._tick_while_loading())
            loaded = await self._load()
            alive.cancel()
            if loaded:
                self._begin()
                await self.over.wait()
        finally:
            self.leading = False
            self._close()
        _logger.info("leads no more", extra={"epoch": self.epoch, "why": self.why})
        return self.why

    def _begin(self) -> None:
        self._take_early()
        self.leading = True
        _logger.info("leading", extra={"epoch": self.epoch, **self._sizes()})
        self._background.spawn(self.commits.run())
        self._background.spawn(self._tick_forever())

    def end(self, why: str) -> None:
        """End the leadership; no order is given from now on."""
        if not self.over.is_set():
            self.why = why
            self.leading = False
            self.over.set()
            if self._loading is not None:
                self._loading.cancel()

    async def drain(self) -> None:
        """Take no more calls, and wait a little until those taken before are in the store."""
        self.closing = True
        last = monotonic() + DRAIN_TIME
        while self.commits.is_busy() and monotonic() < last:
            await asyncio.sleep(DRAIN_POLL)

    def _close(self) -> None:
        self._stop_listening()
        self.calls.close()
        self._background.close()
        self.commits.close()

    def _count_end(self, outcome: str) -> None:
        self.figures.count("end", outcome)

    def _sizes(self) -> dict[str, int | None]:
        state = self.scheduler.state
        sizes = {"jobs": len(state.jobs), "live": len(state.live), "vms": len(state.vms)}
        return {"end": self.committer.end_offset, **sizes}

    async def _load(self) -> bool:
        """Load what lasts; return whether it is there before the leadership ends."""
        load = Load(self.epoch, self.ports.store, self.progress, self.figures)
        self._loading = self._background.spawn(self._take_records(load))
        await asyncio.wait([self._loading])
        if self.over.is_set():
            load.given_up()
        return not self.over.is_set()

    async def _take_records(self, load: Load) -> None:
        records = await load.run(self.committer, self._reading)
        self.scheduler.now()
        self.scheduler.load(records)

    def _follow(self) -> None:
        self._stop_listening = self._feed.subscribe(self._configured)
        vms = Follower(
            self.ports.store,
            Topic.VMS,
            self._vms_listed,
            self._vms_told,
            FRESH_START,
            self.scheduler.rooms_known,
        )
        self.scheduler.rooms_known(monotonic())
        self._background.spawn(vms.run())

    def _failed(self, error: BaseException) -> None:
        """End the leadership over what a part of it has raised."""
        if isinstance(error, LostLeadership | AppendAbandoned):
            self.end(str(error))
            return
        _logger.error("internal error, leadership ends", exc_info=error)
        self.end("internal error")

    # -- Authority ---------------------------------------------------------------------------

    def authority(self) -> bool:
        """Tell whether orders may be given now."""
        return self.leading and not self.over.is_set() and self._authority.holds()

    def store_age(self) -> float:
        """Return for how many seconds the store has not confirmed the leadership."""
        return self._authority.store_age()

    def _store_is_fresh(self) -> bool:
        return self.store_age() < AUTHORITY_TIME

    def _confirmed(self, asked_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self._authority.confirmed(asked_at)
        self.kick()

    def _serves(self) -> bool:
        return not self.closing and self.authority()

    def _fenced_by_vm(self, vm: str) -> None:
        self.end(f"VM {vm} has seen a later leader")

    # -- Time --------------------------------------------------------------------------------

    def kick(self) -> None:
        """Let the systems run soon."""
        self._kicked.set()

    def _woken(self) -> None:
        self.scheduler.now()
        self.kick()

    async def _tick_forever(self) -> None:
        took = 0.0
        while True:
            await set_within(self._kicked, TICK)
            # However much there is to decide, half of the time is left to all else; what took
            # longer may have been a pause of the process.
            await asyncio.sleep(min(TICK, max(COALESCE, took)))
            self._kicked.clear()
            began = monotonic()
            self._tick()
            took = monotonic() - began

    async def _tick_while_loading(self) -> None:
        """Let the time that a load takes not be taken as a pause of the process."""
        while True:
            self._authority.tick()
            await asyncio.sleep(TICK)

    def _tick(self) -> None:
        self._authority.tick()
        self.scheduler.now()
        self._judge_members()
        self.scheduler.advice.set_lanes({self.name} | self.members.heard())
        if self.authority():
            noting = not self.commits.is_store_silent()
            for action in self.scheduler.tick(noting, self._confirmed_at):
                self._perform(action)
            self.calls.poll_new_vms()
        if self.scheduler.journal.pending():
            self.commits.request_commit()
        if self.scheduler.placement.unfinished:
            self.kick()

    def _judge_members(self) -> None:
        if self._store_is_fresh():
            self.members.count()
        if not self.members.majority() and monotonic() - self._began_at < AUTHORITY_LIMIT:
            # Those that have not come may stand in for the store at a former leader, which then
            # extends the leases of VMs that are not heard here.
            self.scheduler.vms.former_may_order()

    def _perform(self, action: Action) -> None:
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

    def _take_early(self) -> None:
        """Take what was read of the VMs while the records of a former leader were loaded."""
        early = self._early or []
        self._early = None
        for take in early:
            take()

    def _configured(self, configuration: Configuration) -> None:
        self.scheduler.now()
        if self.scheduler.configured(configuration):
            self.kick()

    def _vms_listed(self, items: Sequence[PageItem], end: int) -> None:
        if self._early is not None:
            self._early.append(partial(self._vms_listed, items, end))
            return
        self.scheduler.now()
        infos = [self.ports.codec.vm(item.record) for item in items]
        self.scheduler.listed([info for info in infos if info is not None])
        self.kick()

    def _vms_told(self, records: Sequence[Record], end: int) -> None:
        if self._early is not None:
            self._early.append(partial(self._vms_told, records, end))
            return
        self.scheduler.now()
        for record in records:
            info = self.ports.codec.vm(record)
            if info is not None:
                self.scheduler.told(info)
            else:
                # Dropped, or replaced by something that names no VM.
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
