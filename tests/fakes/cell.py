"""Several scheduler cores, a log and workers in virtual time, with fault injection.

The cell performs the cores' actions after fixed delays and returns the outcomes as events, in the
order of one queue. It contains no scheduling logic of its own.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from result import Err, Ok

from sablemount.core import actions, events
from sablemount.core.config import CoreSettings
from sablemount.core.documents import Document, Shape, document_key
from sablemount.core.facts import VmFacts
from sablemount.core.records import Writer
from sablemount.core.scheduler import Scheduler
from sablemount.core.verdict import Failure, Reason, Served, Verdict
from tests.fakes.log import AnswerLost, FakeLog, LogMode, LogUnavailable
from tests.fakes.worker import FakeWorker, GroundTruth

MESSAGE_DELAY_S = 0.002
"""One-way delay of each message."""
SERVICE_TIME_S = 0.02
LOG = "log"
VM_LIST = "list"
"""Names of the log and of the VM list as ends of a link."""
CAPACITY = Shape(cores=16, memory_mb=65_536, accelerators=2, slots=8)
Observer = Callable[["Member", actions.Action], None]


def vm_facts(index: int, halls: int = 3, capacity: Shape = CAPACITY) -> VmFacts:
    hall = f"hall-{index % halls}"
    return VmFacts(f"vm-{index}", "", hall, f"{hall}-rack-{index // 6}", capacity)


class Member:
    """One scheduler process: its core, its clock, and whether it is running."""

    def __init__(self, cell: "VirtualCell", name: str, incarnation: int) -> None:
        self.cell = cell
        self.name = name
        self.clock_rate = 1.0 + cell.rng.uniform(-4e-4, 4e-4)
        self.clock_offset = cell.rng.uniform(0, 1000)
        self.dead = False
        self.paused_until = 0.0
        self.deferred_events: list[events.Event] = []
        self.deferred_actions: list[actions.Action] = []
        self.stopped = False
        self.core = Scheduler(
            cell.settings,
            Writer(name, incarnation),
            "hall-0",
            tuple(cell.names),
            random.Random(cell.rng.random()),
            self.clock(),
        )
        self.revisions: dict[str, int] = {}

    def clock(self) -> float:
        return self.cell.now * self.clock_rate + self.clock_offset

    @property
    def paused(self) -> bool:
        return self.cell.now < self.paused_until

    def handle(self, event: events.Event) -> None:
        """Pass an event to the core and perform its actions; while paused, defer the event."""
        if self.dead or self.stopped:
            return
        if self.paused:
            self.deferred_events.append(event)
            return
        for action in self.core.handle(event, self.clock()):
            self.cell.perform(self, action)
        self._check_revisions()

    def _check_revisions(self) -> None:
        for key, row in self.core.state.ledger.documents.items():
            if row.revision < self.revisions.get(key, 0):
                self.cell.truth.violations.append(f"configuration: {key} reverted on {self.name}")
            self.revisions[key] = row.revision


class VirtualCell:
    """The platform and the scheduler processes, driven by one event queue."""

    def __init__(
        self,
        members: int = 3,
        vms: int = 6,
        seed: int = 1,
        settings: CoreSettings | None = None,
        retention: int = 1_000_000,
        halls: int = 3,
        truth: GroundTruth | None = None,
        service_time: float = SERVICE_TIME_S,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.settings = settings or CoreSettings(shards=6)
        self.log = FakeLog(retention)
        self.log_delay = MESSAGE_DELAY_S
        self.truth = truth or GroundTruth()
        self.service_time = service_time
        self.workers = {
            facts.vm: FakeWorker(facts, self.truth)
            for facts in (vm_facts(index, halls) for index in range(vms))
        }
        self.list_lag = 0.0
        self.frozen_vm_list: tuple[VmFacts, ...] | None = None
        self.names = [f"s{index}" for index in range(members)]
        self.cut_links: set[frozenset[str]] = set()
        self.answers: dict[str, object] = {}
        self.command_failures: dict[str, Failure | None] = {}
        self.observers: list[Observer] = []
        self.drop: Callable[[Member, actions.Action, str], bool] = lambda *_: False
        self.tokens = itertools.count(1)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._forwards: dict[tuple[str, str], Callable[[events.RequestEnded], None]] = {}
        self.members: dict[str, Member] = {}
        for index, name in enumerate(self.names):
            self.boot(name, index + 1)

    # -- Time --------------------------------------------------------------------------------

    def after(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._order), call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Run until a condition holds and return the time taken; fail after the limit."""
        start = self.now
        while not condition():
            assert self.now - start < limit, "the condition did not hold within the limit"
            self.run(0.05)
        return self.now - start

    # -- Members -----------------------------------------------------------------------------

    def boot(self, name: str, incarnation: int) -> Member:
        member = Member(self, name, incarnation)
        self.members[name] = member
        self.after(self.rng.random() * 0.1, lambda: self._tick(member))
        self.after(0.0, lambda: self._deliver_vm_list(member))
        return member

    def _tick(self, member: Member) -> None:
        if member.dead or member.stopped:
            return
        member.handle(events.Tick())
        self.after(self.settings.tick, lambda: self._tick(member))

    def _deliver_vm_list(self, member: Member) -> None:
        if member.dead or member.stopped:
            return
        if frozenset((member.name, VM_LIST)) not in self.cut_links:
            facts = self.frozen_vm_list if self.frozen_vm_list is not None else self.vm_list()
            member.handle(events.VmListRead(facts))
        self.after(0.5, lambda: self._deliver_vm_list(member))

    def vm_list(self) -> tuple[VmFacts, ...]:
        return tuple(worker.facts for worker in self.workers.values() if worker.up)

    def crash(self, name: str) -> None:
        self.members[name].dead = True

    def replace(self, name: str) -> Member:
        old = self.members[name]
        old.dead = True
        return self.boot(name, old.core.state.writer.incarnation + 1)

    def pause(self, name: str, seconds: float) -> None:
        """Suspend a member: events to it and actions of it are deferred until it resumes."""
        member = self.members[name]
        member.paused_until = self.now + seconds
        self.after(seconds, lambda: self._resume(member))

    def _resume(self, member: Member) -> None:
        if member.paused:
            return
        deferred, member.deferred_actions = member.deferred_actions, []
        for action in deferred:
            self.perform(member, action)
        undelivered, member.deferred_events = member.deferred_events, []
        for event in undelivered:
            member.handle(event)

    def cut_link(self, one: str, other: str) -> None:
        """Cut the link between two members, or between a member and a VM, the log or the list."""
        self.cut_links.add(frozenset((one, other)))

    def heal(self) -> None:
        """Undo the faults of links, log and VM list; crashed members stay down."""
        self.cut_links.clear()
        self.log.mode = LogMode.UP
        self.log.apply_delayed_writes(self.now)
        self.log_delay = MESSAGE_DELAY_S
        self.frozen_vm_list = None
        self.drop = lambda *_: False

    def linked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut_links

    # -- Actions -----------------------------------------------------------------------------

    def perform(self, member: Member, action: actions.Action) -> None:
        for observer in list(self.observers):
            observer(member, action)
        if member.dead:
            return
        if member.paused:
            member.deferred_actions.append(action)
            return
        handler = getattr(self, f"_do_{type(action).__name__}")
        handler(member, action)

    def _reply(self, member: Member, delay: float, event: events.Event) -> None:
        self.after(delay, lambda: member.handle(event))

    def _do_ReadLog(self, member: Member, action: actions.ReadLog) -> None:
        sent_at = member.clock()
        timeout = self.settings.read_timeout

        def arrive() -> None:
            try:
                entries = self.log.read(action.after)
            except LogUnavailable:
                self._reply(member, timeout, events.LogReadFailed())
                return
            read = events.LogRead(sent_at, entries, self.log.head, self.log.first)
            self._reply(member, self.log_delay, read)

        if not self.linked(member.name, LOG) or 2 * self.log_delay > timeout:
            self._reply(member, timeout, events.LogReadFailed())
        else:
            self.after(self.log_delay, arrive)

    def _do_AppendLog(self, member: Member, action: actions.AppendLog) -> None:
        timeout = self.settings.append_timeout
        ended = events.AppendEnded

        def arrive() -> None:
            try:
                self.log.append(action.payload, self.now)
            except LogUnavailable:
                status = events.AppendStatus.REFUSED
                self._reply(member, MESSAGE_DELAY_S, ended(action.sequence, status))
            except AnswerLost:
                status = events.AppendStatus.UNKNOWN
                self._reply(member, timeout, ended(action.sequence, status))
            else:
                status = events.AppendStatus.WRITTEN
                self._reply(member, self.log_delay, ended(action.sequence, status))

        if self.linked(member.name, LOG):
            self.after(self.log_delay, arrive)
        else:
            status = events.AppendStatus.UNKNOWN
            self._reply(member, timeout, ended(action.sequence, status))

    def _do_StartRun(self, member: Member, action: actions.StartRun) -> None:
        status = events.StartStatus
        if member.clock() > action.not_after:
            self._reply(member, 0.0, events.StartEnded(action.run, status.NOT_SENT))
            return
        worker = self.workers.get(action.vm)
        timeout = self.settings.worker_timeout

        def arrive() -> None:
            if worker is None or not worker.up:
                self._reply(member, timeout, events.StartEnded(action.run, status.UNKNOWN))
                return
            worker.start(action.run, action.shape, action.lease, action.seconds, self.now)
            lost = self.drop(member, action, "answer")
            outcome = status.UNKNOWN if lost else status.STARTED
            self._reply(
                member, timeout if lost else MESSAGE_DELAY_S, events.StartEnded(action.run, outcome)
            )

        if not self.linked(member.name, action.vm) or self.drop(member, action, "command"):
            self._reply(member, timeout, events.StartEnded(action.run, status.UNKNOWN))
        else:
            self.after(MESSAGE_DELAY_S, arrive)

    def _do_Poll(self, member: Member, action: actions.Poll) -> None:
        sent_at = member.clock()
        worker = self.workers.get(action.vm)
        timeout = self.settings.worker_timeout
        missed = events.PollEnded(action.vm, sent_at)

        def arrive() -> None:
            if worker is None or not worker.up:
                self._reply(member, timeout, missed)
                return
            reports = worker.poll(
                action.renew, action.acknowledge, action.commands, action.lease, self.now
            )
            if self.drop(member, action, "answer"):
                self._reply(member, timeout, missed)
                return
            requests = tuple(worker.requests)
            ended = events.PollEnded(
                action.vm, sent_at, worker.boot, worker.leaving, reports, requests
            )
            self._reply(member, MESSAGE_DELAY_S, ended)

        if member.clock() > action.not_after or not self.linked(member.name, action.vm):
            self._reply(member, timeout, missed)
        else:
            self.after(MESSAGE_DELAY_S, arrive)

    def _do_Serve(self, member: Member, action: actions.Serve) -> None:
        worker = self.workers.get(action.vm)
        request = action.request
        timeout = max(0.0, action.deadline - member.clock())

        def end(failure: Failure | None, free: bool, delay: float, served: object = None) -> None:
            event = events.RequestEnded(
                request, action.vm, failure, free, self.service_time, served
            )
            self._reply(member, delay, event)

        def arrive() -> None:
            lost = Failure(Verdict.MAY_HAVE_RUN, Reason.DEADLINE)
            if worker is None or not worker.up:
                end(lost, False, timeout)
                return
            worker.begin(request, self.now)
            self.after(self.service_time, lambda: worker.end(request))
            if self.drop(member, action, "answer"):
                end(lost, False, timeout)
            else:
                served = Served(action.body, action.vm)
                end(None, True, self.service_time + MESSAGE_DELAY_S, served)

        if member.clock() > action.not_after:
            end(Failure(Verdict.NOT_RUN, Reason.UPSTREAM_UNREACHABLE), True, 0.0)
        elif not self.linked(member.name, action.vm):
            end(Failure(Verdict.MAY_HAVE_RUN, Reason.DEADLINE), False, timeout)
        else:
            self.after(MESSAGE_DELAY_S, arrive)

    def _do_Forward(self, member: Member, action: actions.Forward) -> None:
        peer = self.members.get(action.peer)
        arrival = action.arrival
        remaining = max(0.0, arrival.deadline - member.clock())
        pending = [True]

        def end(event: events.RequestEnded) -> None:
            """End the call, once: a later answer or time-out is ignored."""
            if pending[0] and self.linked(member.name, action.peer):
                pending[0] = False
                member.handle(event)

        def arrive() -> None:
            if peer is None or peer.dead:
                return
            self._forwards[peer.name, arrival.request] = end
            deadline = peer.clock() + remaining
            peer.handle(
                events.RequestArrived(
                    arrival.request, arrival.template, deadline, arrival.body, arrival.key, True
                )
            )

        def time_out() -> None:
            if pending[0]:
                pending[0] = False
                lost = Failure(Verdict.MAY_HAVE_RUN, Reason.PEER_LOST)
                member.handle(events.RequestEnded(arrival.request, "", lost, True))

        if self.linked(member.name, action.peer):
            self.after(MESSAGE_DELAY_S, arrive)
        self.after(remaining, time_out)

    def _do_SendPeer(self, member: Member, action: actions.SendPeer) -> None:
        def arrive() -> None:
            peer = self.members.get(action.peer)
            if peer is not None:
                peer.handle(events.PeerReceived(action.message))

        if self.linked(member.name, action.peer):
            self.after(MESSAGE_DELAY_S, arrive)

    def _do_AnswerRequest(self, member: Member, action: actions.AnswerRequest) -> None:
        end = self._forwards.pop((member.name, action.request), None)
        if end is not None:
            failure, served = None, None
            if isinstance(action.result, Ok):
                served = action.result.ok_value
            else:
                failure = action.result.err_value
            event = events.RequestEnded(action.request, "", failure, True, 0.0, served)
            self.after(MESSAGE_DELAY_S, lambda: end(event))
            return
        if action.request in self.answers:
            self.truth.violations.append(f"answer: {action.request} was answered twice")
        self.answers[action.request] = action.result
        self._check_answer(action)

    def _check_answer(self, action: actions.AnswerRequest) -> None:
        result = action.result
        if isinstance(result, Ok) and result.ok_value.body != action.request.encode():
            self.truth.violations.append(
                f"answer: {action.request} got the answer of another request"
            )
        not_run = isinstance(result, Err) and result.err_value.verdict is Verdict.NOT_RUN
        if not_run and self.truth.executions[action.request]:
            self.truth.violations.append(f"not run: {action.request} ran")

    def _do_AnswerCommand(self, member: Member, action: actions.AnswerCommand) -> None:
        self.command_failures[action.token] = action.failure

    def _do_Stopped(self, member: Member, action: actions.Stopped) -> None:
        member.stopped = True

    # -- Callers and operators ---------------------------------------------------------------

    def publish(self, document: Document, expected: int = 0, member: str = "s0") -> str:
        token = f"c{next(self.tokens)}"
        at = self.members[member]
        deadline = at.clock() + 10.0
        at.handle(events.PublishRequested(token, document, expected, "operator", deadline))
        return token

    def publish_all(self, documents: Iterable[Document]) -> None:
        for document in documents:
            row = self.members["s0"].core.state.ledger.documents.get(document_key(document))
            self.publish(document, row.revision if row else 0)
        self.run(1.0)

    def submit(
        self, template: str, job: str, count: int = 1, member: str = "s0", wait: float = 10.0
    ) -> str:
        token = f"c{next(self.tokens)}"
        at = self.members[member]
        deadline = at.clock() + wait
        at.handle(events.JobSubmitted(token, job, template, count, {}, deadline))
        return token

    def request(
        self, template: str, member: str = "s0", key: str = "", wait: float = 2.0, name: str = ""
    ) -> str:
        request = name or f"r{next(self.tokens)}"
        at = self.members[member]
        arrival = events.RequestArrived(request, template, at.clock() + wait, request.encode(), key)
        at.handle(arrival)
        return request

    # -- Views -------------------------------------------------------------------------------

    def live(self) -> list[Member]:
        return [
            member
            for member in self.members.values()
            if not member.dead and not member.stopped and not member.paused
        ]

    def owners(self) -> dict[int, str]:
        """Return the live member that has completed the recovery of each shard."""
        return {
            shard: member.name
            for member in self.live()
            for shard, held in member.core.state.held_shards.items()
            if held.recovery_complete
        }

    def settled(self) -> bool:
        """Return whether a live member has completed the recovery of each shard."""
        return len(self.owners()) == self.settings.shards

    def verdict(self, task: str) -> str:
        """Return the verdict of a task by any live member, or an empty string."""
        rows = [member.core.state.ledger.tasks.get(task) for member in self.live()]
        found = [row.verdict for row in rows if row is not None and row.verdict]
        return found[0] if found else ""

    def check_tasks(self) -> None:
        """Check that no task with the verdict NOT_RUN has been started."""
        for member in self.live():
            for row in member.core.state.ledger.tasks.values():
                if row.verdict == Verdict.NOT_RUN.value and self.truth.starts[row.task]:
                    self.truth.violations.append(f"not run: task {row.task} ran")
