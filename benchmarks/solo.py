"""A scheduler core with a log and workers that answer immediately, for timing the core alone."""

from __future__ import annotations

import random
from collections import deque

from sablemount.core import actions, events
from sablemount.core.config import CoreSettings
from sablemount.core.documents import Document, Shape
from sablemount.core.facts import VmFacts
from sablemount.core.records import Writer
from sablemount.core.scheduler import Scheduler
from tests.fakes.log import FakeLog
from tests.fakes.worker import FakeWorker, GroundTruth

__all__ = ["Solo", "make_facts"]

HALLS = 27
VMS_PER_RACK = 24
TICK_S = 0.1


def make_facts(count: int, halls: int = HALLS, rack: int = VMS_PER_RACK) -> list[VmFacts]:
    """Return VMs with 16 cores and 64 GB; two thirds have accelerators, as at the target size."""
    facts = []
    for index in range(count):
        hall = f"hall-{index % halls:02d}"
        accelerators = (0, 2, 3)[index // halls % 3]
        capacity = Shape(cores=16, memory_mb=65_536, accelerators=accelerators, slots=8)
        rack_name = f"{hall}-rack-{index // (halls * rack)}"
        facts.append(VmFacts(f"vm-{index:05d}", "", hall, rack_name, capacity))
    return facts


class Solo:
    """Performs every action of the core immediately."""

    def __init__(self, facts: list[VmFacts], settings: CoreSettings, seed: int = 1) -> None:
        self.now = 0.0
        self.truth = GroundTruth()
        self.workers = {row.vm: FakeWorker(row, self.truth) for row in facts}
        self.log = FakeLog()
        self.polls = 0
        rng = random.Random(seed)
        self.core = Scheduler(settings, Writer("s0", 1), "hall-00", (), rng, 0.0)
        self.command_failures: dict[str, object] = {}
        self.answers = 0
        self._queue: deque[events.Event] = deque()
        self.handle(events.VmListRead(tuple(facts)))

    def handle(self, event: events.Event) -> None:
        """Handle an event, and all events that result from it."""
        self._queue.append(event)
        while self._queue:
            for action in self.core.handle(self._queue.popleft(), self.now):
                self._perform(action)

    def run(self, seconds: float) -> None:
        """Advance the time, with a tick every ``TICK_S``."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.handle(events.Tick())

    def publish(self, document: Document) -> None:
        """Publish a document for the first time."""
        self.handle(events.PublishRequested("c", document, 0, "operator", self.now + 10))
        self.run(0.5)

    def submit(self, template: str, job: str, count: int) -> None:
        """Submit a job of ``count`` tasks."""
        self.handle(events.JobSubmitted("c", job, template, count, {}, self.now + 10))

    def _perform(self, action: actions.Action) -> None:
        if isinstance(action, actions.ReadLog):
            entries = self.log.read(action.after)
            read = events.LogRead(self.now, entries, self.log.head, self.log.first)
            self._queue.append(read)
        elif isinstance(action, actions.AppendLog):
            self.log.append(action.payload, self.now)
            ended = events.AppendEnded(action.sequence, events.AppendStatus.WRITTEN)
            self._queue.append(ended)
        elif isinstance(action, actions.Poll):
            self._poll(action)
        elif isinstance(action, actions.StartRun):
            worker = self.workers[action.vm]
            worker.start(action.run, action.shape, action.lease, action.seconds, self.now)
            self._queue.append(events.StartEnded(action.run, events.StartStatus.STARTED))
        elif isinstance(action, actions.AnswerRequest):
            self.answers += 1
        elif isinstance(action, actions.AnswerCommand):
            self.command_failures[action.token] = action.failure

    def _poll(self, action: actions.Poll) -> None:
        self.polls += 1
        worker = self.workers[action.vm]
        reports = worker.poll(
            action.renew, action.acknowledge, action.commands, action.lease, self.now
        )
        ended = events.PollEnded(action.vm, self.now, worker.boot, worker.leaving, reports)
        self._queue.append(ended)
