"""The scheduler core: events in, actions out.

The core has no I/O, no clock and no global random numbers. The runtime, a test or a benchmark
passes events with their times to it and performs the actions that it returns.
"""

import random
from functools import singledispatchmethod

from sablemount.core import events
from sablemount.core.actions import Action
from sablemount.core.config import CoreSettings
from sablemount.core.events import Event
from sablemount.core.messages import (
    CatchUp,
    CatchUpReply,
    DrainNotice,
    Gossip,
    HoldPromise,
    HoldRequest,
    PeerMessage,
    QuotaAsk,
)
from sablemount.core.meter import Meter
from sablemount.core.records import Writer
from sablemount.core.state import State
from sablemount.core.systems.commands import Commands
from sablemount.core.systems.inventory import Inventory
from sablemount.core.systems.journal import Journal
from sablemount.core.systems.membership import Membership
from sablemount.core.systems.ownership import Ownership
from sablemount.core.systems.placement import Placement
from sablemount.core.systems.preemption import Preemption
from sablemount.core.systems.quotas import Quotas
from sablemount.core.systems.reconcile import Reconcile
from sablemount.core.systems.recovery import Recovery
from sablemount.core.systems.renewal import Renewal
from sablemount.core.systems.requests import Requests
from sablemount.core.systems.snapshots import Snapshots
from sablemount.core.systems.stopping import Stopping

__all__ = ["Scheduler"]


class Scheduler:
    """One scheduler: its state and the systems that act on it."""

    def __init__(
        self,
        settings: CoreSettings,
        writer: Writer,
        hall: str,
        peers: tuple[str, ...],
        rng: random.Random,
        now: float,
        meter: Meter | None = None,
    ) -> None:
        self.state = State(settings, writer, hall, peers, rng, meter or Meter(), now)
        state = self.state
        self.journal = Journal(state)
        self.membership = Membership(state, self.journal)
        self.ownership = Ownership(state, self.journal, self.membership)
        self.inventory = Inventory(state, self.journal)
        self.renewal = Renewal(state)
        self.placement = Placement(state, self.journal)
        self.reconcile = Reconcile(state, self.journal, self.renewal, self.placement.enqueue)
        self.recovery = Recovery(state, self.journal, self.placement)
        self.preemption = Preemption(state, self.placement)
        self.quotas = Quotas(state, self.journal, self.placement)
        self.requests = Requests(state, self.journal)
        self.commands = Commands(state, self.journal, self.placement, self.inventory)
        self.snapshots = Snapshots(state, self.journal, self.membership)
        self.stopping = Stopping(state, self.journal, self.membership, self.requests)

    # -- Events ------------------------------------------------------------------------------

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event at a time (local monotonic seconds) and return the resulting actions."""
        state = self.state
        paused = now - state.now > state.settings.suspect_after / 2
        state.now = max(state.now, now)
        self.ownership.renew()
        if paused:
            self.inventory.withhold_new_work()
        self._dispatch(event)
        actions = state.actions
        state.actions = []
        return actions

    @singledispatchmethod
    def _dispatch(self, event: object) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_dispatch.register
    def _(self, event: events.Tick) -> None:
        self._run_all()

    @_dispatch.register
    def _(self, event: events.LogRead) -> None:
        self.journal.read_ended(event)
        self._run_all()

    @_dispatch.register
    def _(self, event: events.LogReadFailed) -> None:
        self.journal.read_failed()

    @_dispatch.register
    def _(self, event: events.AppendEnded) -> None:
        self.journal.append_ended(event)
        self.journal.run()

    @_dispatch.register
    def _(self, event: events.VmListRead) -> None:
        self.inventory.listed(event)

    @_dispatch.register
    def _(self, event: events.StartEnded) -> None:
        self.reconcile.start_ended(event)

    @_dispatch.register
    def _(self, event: events.PollEnded) -> None:
        self.reconcile.polled(event)
        self.requests.dispatch_queued()

    @_dispatch.register
    def _(self, event: events.RequestArrived) -> None:
        self.requests.arrived(event)

    @_dispatch.register
    def _(self, event: events.RequestEnded) -> None:
        self.requests.ended(event)

    @_dispatch.register
    def _(self, event: events.RequestWithdrawn) -> None:
        self.requests.withdrawn(event.request)

    @_dispatch.register
    def _(self, event: events.JobSubmitted) -> None:
        self.commands.submitted(event)

    @_dispatch.register
    def _(self, event: events.CancelRequested) -> None:
        self.commands.cancelled(event)

    @_dispatch.register
    def _(self, event: events.PublishRequested) -> None:
        self.commands.published(event)

    @_dispatch.register
    def _(self, event: events.DrainRequested) -> None:
        self.commands.drained(event)

    @_dispatch.register
    def _(self, event: events.StopRequested) -> None:
        self.stopping.requested()

    @_dispatch.register
    def _(self, event: events.PeerReceived) -> None:
        self._dispatch_message(event.message)

    def _dispatch_message(self, message: PeerMessage) -> None:
        if isinstance(message, Gossip | CatchUp | CatchUpReply):
            self.membership.received(message)
        elif isinstance(message, HoldRequest | HoldPromise):
            self.ownership.received(message)
        elif isinstance(message, QuotaAsk):
            self.quotas.received(message)
        elif isinstance(message, DrainNotice):
            self.inventory.received(message)

    # -- Systems -----------------------------------------------------------------------------

    def _run_all(self) -> None:
        """Run every system once, in the order of their dependencies."""
        self.membership.run()
        self.ownership.run()
        self.inventory.run()
        self.recovery.run()
        self.reconcile.run()
        self.requests.run()
        self.placement.run()
        self.preemption.run()
        self.quotas.run()
        self.renewal.poll_urgently()
        self.renewal.run()
        self.snapshots.run()
        self.stopping.run()
        self.journal.run()
