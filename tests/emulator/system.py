"""The emulated system: members that can be started and killed, callers, and final checks."""

import asyncio
import contextvars
import random
from collections.abc import Callable, Iterator
from functools import partial
from itertools import pairwise

import msgspec

from sablemount.control.gate import key_digest
from sablemount.control.leader import LeaderPorts
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import CallerCall, CallerReply, Operation, Outcome
from sablemount.control.standing import MachineLimits
from sablemount.control.store import Topic
from sablemount.control.vm_call_context import EPOCH_SHIFT
from sablemount.jobs.model import (
    AdviceTerms,
    Configuration,
    JobSpec,
    Organisation,
    Queue,
    QueueTerms,
    Shape,
    StepSpec,
)
from sablemount.jobs.records import Record
from sablemount.jobs.settings import JobSettings
from sablemount.platform.workers import PlatformAdvice
from tests.emulator.advice import AdviceNetwork, EmulatedAdvice
from tests.emulator.directory import Codec, directory_entry
from tests.emulator.entries import Entries
from tests.emulator.job_model import JobModel, task_names
from tests.emulator.late_starts import late_starts
from tests.emulator.leader_view import LeaderView
from tests.emulator.loop import OWNER, resume, suspend
from tests.emulator.narrow import LimitedLink, LimitedLinkStore
from tests.emulator.network import EmulatedNetwork
from tests.emulator.stalls import StallingStore, Stalls
from tests.emulator.store import EmulatedStore
from tests.emulator.transit import DelayedStore, StorePathFaults
from tests.emulator.vm import Vm
from tests.emulator.vm_ports import VmNetwork
from tests.emulator.vms import Cell, emulated_wall_ms, loop_time
from tests.emulator.watch import CheckedStoreState, InvariantChecker
from tests.emulator.watched import CheckedMember, CheckedVms

HOST = "queues.example"
PREFIX = "/queue/"
OTHER_PREFIX = "/other/"
"""Prefix of the queue to the second pool, if there is one."""
CAPACITY = Shape(16_000, 64_000, 0)
CALL_TIMEOUT_S = 2.7
MAX_ATTEMPTS = 6
CRASHES_UNTIL_FAILED = 2
"""Crashes of VMs under a task after which its job may be reported as failed."""


LISTING_DELAY_S = (0.0, 0.5)
"""Range of seconds from the start of a VM until it has written its directory entry."""
STORE_POLL_INTERVAL_S = 0.05


class System:
    """A system of members, VMs, store and network that runs in virtual time."""

    def __init__(
        self,
        seed: int,
        members: int = 4,
        vms: int = 6,
        advice: bool = False,
        pools: tuple[str, ...] = ("pool",),
        kinds: tuple[str, ...] = ("a",),
    ) -> None:
        self.rng = random.Random(seed)
        self.checker = InvariantChecker()
        self.store = CheckedStoreState(random.Random(seed + 1), self.checker)
        self.store_path = StorePathFaults(random.Random(seed + 3))
        self.cell = Cell(random.Random(seed + 2))
        self.cell.on_task_crash = self._on_task_crashes_vm
        self.cell.on_lease_extended = self._check_lease
        self.network = EmulatedNetwork()
        self.members: dict[str, CheckedMember] = {}
        self.vm_networks: dict[str, VmNetwork] = {}
        """How each member reaches the VMs."""
        self.names = [f"m{number}" for number in range(members)]
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        self.cancelled_unknown: dict[str, float] = {}
        """Jobs whose cancelling was answered that there is no such job, and when."""
        self.open_submissions = 0
        self.fail_closed = False
        """Whether members refuse callers while their configuration is unconfirmed."""
        self.keeps_vm_ids = False
        """Whether VMs that crash start again under the same id."""
        self.machine_limits: dict[str, MachineLimits] = {}
        """Machine limits by member; a member that is not listed has no limit."""
        self.emulates_time_of_day = False
        """Whether the members read the emulation's time of day: otherwise no due time ever comes,
        as the machine's own hardly moves meanwhile."""
        self.store_links: dict[str, LimitedLink] = {}
        """Links to the store by member; a member that is not listed has unlimited bandwidth."""
        self.stalls = Stalls(random.Random(seed + 11), self.suspend, self.resume)
        self._started_members = 0
        self.entries = Entries(self.store, directory_entry, lambda vm: not vm.unreachable)
        self._advice: AdviceTerms | None = None
        self.set_advice(advice)
        self._pools = pools
        for number in range(vms):
            address = f"10.0.0.{number + 1}:8240"
            pool = pools[number % len(pools)]
            kind = kinds[number // len(pools) % len(kinds)]
            rack = f"r{number // 3}"
            self.list_vm(self.cell.add(f"w{number}", rack, CAPACITY, address, pool, kind))
        self.configure(1)

    # -- The platform ------------------------------------------------------------------------

    def set_advice(self, is_needed: bool) -> None:
        """Have starts need a ticket from now on, or none; ``configure`` publishes this."""
        self.cell.requires_ticket = is_needed
        self._advice = AdviceTerms(5.0, 0.1, 2000.0) if is_needed else None

    def configure(
        self,
        version: int,
        prefix: str = PREFIX,
        organisations: tuple[Organisation, ...] | None = None,
        public: bool = False,
        idle: int = 0,
        queues: tuple[Queue, ...] = (),
    ) -> None:
        """Publish a configuration; callers need keys if it names organisations.

        ``idle`` is the number of additional queues without callers. ``queues`` replaces those to
        the first two pools.
        """
        terms = self.terms("work", self._pools[0])
        others = [
            Queue(HOST, OTHER_PREFIX, msgspec.structs.replace(terms, name=f"to {pool}", pool=pool))
            for pool in self._pools[1:2]
        ]
        configuration = Configuration(
            version,
            queues or (Queue(HOST, prefix, terms, public), *others, *_idle_queues(terms, idle)),
            keyed=organisations is not None,
            organisations=organisations or (),
            pools=frozenset(self._pools),
            accepted_connections=dict.fromkeys(self._pools, self.cell.accepted_connections),
        )
        self.cell.caps.record(configuration.organisations, loop_time())
        self.cell.routes.record(
            {queue.host + queue.prefix: queue.terms.pool for queue in configuration.queues}
        )
        value = msgspec.msgpack.encode(configuration)
        self.store.topics[Topic.CONFIGURATION].add([Record("config", value)])

    def terms(self, name: str, pool: str, priority: int = 0) -> QueueTerms:
        """Return the terms of a queue to a pool."""
        return QueueTerms(name, pool, priority, self.cell.max_attempts, 2.0, 1000.0, self._advice)

    def limit_connections(self, accepted: int) -> None:
        """Let all VMs take so many connections, and publish this."""
        self.cell.accepted_connections = accepted
        for vm in self.cell.vms.values():
            vm.accepted_connections = accepted
        self.configure(2)

    def list_vm(self, vm: Vm) -> None:
        """Let a VM write its entry."""
        self.entries.write(vm)

    def write_foreign_entry(self, key: str, value: bytes) -> None:
        """Write a foreign record into the topic of the VM entries."""
        self.store.topics[Topic.VMS].add([Record(key, value)])

    def unlist_vm(self, vm: Vm) -> None:
        """Let a VM withdraw its entry for good."""
        self.entries.withdraw(vm)

    def drain(self, vm: Vm, stays_s: float | None = None) -> None:
        """Let a VM drain, and announce how long it stays at least."""
        vm.leaves_at = None if stays_s is None else loop_time() + stays_s
        vm.info = msgspec.structs.replace(vm.info, draining=True)
        self.list_vm(vm)

    def crash_vm(self, vm: Vm, restart_delay_s: float | None) -> None:
        if restart_delay_s is not None and self.keeps_vm_ids:
            self.restart_vm(vm, restart_delay_s)
            return
        self.cell.crash(vm)
        if restart_delay_s is not None:
            asyncio.get_running_loop().call_later(restart_delay_s, self._replace_vm, vm)

    def restart_vm(
        self, vm: Vm, restart_delay_s: float, capacity: Shape = CAPACITY, kind: str = ""
    ) -> None:
        """Crash a VM and start it again under the same id, which its entry may outlast.

        It is of the same kind again unless ``kind`` names another one.
        """
        if not vm.up:
            return
        self.cell.crash(vm)
        asyncio.create_task(self._replace_incarnation(vm, restart_delay_s, capacity, kind))

    async def _replace_incarnation(
        self, vm: Vm, restart_delay_s: float, capacity: Shape, kind: str
    ) -> None:
        await asyncio.sleep(restart_delay_s)
        new = self.cell.restart(vm, capacity, kind)
        await asyncio.sleep(self.rng.uniform(*LISTING_DELAY_S))
        while self.store.down:
            await asyncio.sleep(STORE_POLL_INTERVAL_S)
        if new.up:
            self.list_vm(new)

    def replace_vm(
        self, vm: Vm, restart_delay_s: float, capacity: Shape, pool: str, kind: str
    ) -> None:
        """Crash a VM; its machine starts another one, under another id at the same address."""
        if not vm.up:
            return
        self.cell.crash(vm)
        info = vm.info

        def replace() -> None:
            rack = info.labels[-1]
            self.list_vm(self.cell.add(info.machine, rack, capacity, info.address, pool, kind))

        asyncio.get_running_loop().call_later(restart_delay_s, replace)

    def _on_task_crashes_vm(self, vm: Vm) -> None:
        """Handle a VM that a task crashes: it is replaced some seconds later."""
        self.crash_vm(vm, self.rng.uniform(1.0, 4.0))

    def _replace_vm(self, vm: Vm) -> None:
        info = vm.info
        kind, rack = info.labels
        self.list_vm(self.cell.add(info.machine, rack, CAPACITY, info.address, info.pool, kind))

    def _check_lease(self, vm: Vm) -> None:
        """Check that no leader counts the lease of a VM as shorter than the VM itself does."""
        for member in self.members.values():
            leader = member.leader
            if leader is not None and leader.epoch >= vm.fence >> EPOCH_SHIFT:
                self.checker.check_lease(leader, vm)

    # -- Members -----------------------------------------------------------------------------

    def suspend(self, name: str) -> None:
        """Suspend a member: none of its code runs, its time goes on, and its network is silent."""
        self.network.unreachable.add(name)
        suspend(name)

    def resume(self, name: str) -> None:
        """Resume a suspended member where it stopped."""
        if resume(name):
            self.network.unreachable.discard(name)

    def start(self, name: str) -> None:
        contextvars.copy_context().run(self._start, name)

    def _start(self, name: str) -> None:
        OWNER.set(name)
        self._started_members += 1
        advice = EmulatedAdvice(lambda vm: self.cell.newest_incarnation(vm).incarnation)
        vms = CheckedVms(
            self.cell,
            self.checker,
            partial(self.network.is_partitioned, name),
            partial(self.stalls.step, name),
            partial(self._view_of, name),
        )
        self.vm_networks[name] = vms.network
        ports = LeaderPorts(
            StallingStore(self._store_of(name), name, self.stalls),
            vms,
            PlatformAdvice("advice", AdviceNetwork(advice)),  # type: ignore[arg-type]
            Codec(),
        )
        limits = self.machine_limits.get(name, MachineLimits())
        settings = MemberSettings(name, name, JobSettings(), limits, self.fail_closed)
        rng = random.Random(self.rng.getrandbits(32))
        member = CheckedMember(
            settings,
            ports,
            self.network.member_network(name),
            rng,
            self.checker,
            self.cell.newest_incarnation,
        )
        member.wall_ms = emulated_wall_ms if self.emulates_time_of_day else None
        self.members[name] = member
        member.start()

    def _view_of(self, name: str) -> LeaderView | None:
        member = self.members.get(name)
        return None if member is None else member.view

    def _store_of(self, name: str) -> EmulatedStore:
        link = self.store_links.get(name)
        if link is None:
            return DelayedStore(self.store, name, self.store_path)
        return LimitedLinkStore(self.store, name, link)

    def start_all(self) -> None:
        self.entries.start()
        for name in self.names:
            if name not in self.members:
                self.start(name)

    def kill(self, name: str, restart_delay_s: float | None) -> None:
        member = self.members.pop(name, None)
        if member is not None:
            member.close()
            self.vm_networks[name].close_idle()
        # The held callbacks of a suspended member run, and find it closed.
        resume(name)
        if restart_delay_s is not None:
            asyncio.get_running_loop().call_later(restart_delay_s, self._restart_member, name)

    def _restart_member(self, name: str) -> None:
        self.network.unreachable.discard(name)
        if name not in self.members:
            self.start(name)

    def power_off(self, name: str, restart_delay_s: float) -> None:
        """Kill a member without closing its connections: its peers see silence."""
        self.network.unreachable.add(name)
        if name in self.members:
            self.vm_networks[name].connections.lose()
        self.kill(name, restart_delay_s)

    async def stop(self, name: str, restart_delay_s: float) -> None:
        """Stop a member gracefully, and kill it if it still runs a second later."""
        member = self.members.get(name)
        if member is not None:
            await member.stop()
            await asyncio.sleep(1.0)
            if self.members.get(name) is member:
                self.kill(name, restart_delay_s)

    def leader(self) -> str | None:
        for name, member in self.members.items():
            if member.leader is not None and member.leader.leading:
                return name
        return None

    # -- Callers -----------------------------------------------------------------------------

    async def call(self, call: CallerCall, digest: bytes | None = None) -> CallerReply | None:
        """Call a random member; return ``None`` if it was killed before it replied."""
        names = list(self.members)
        if not names:
            await asyncio.sleep(0.2)
            return None
        member = self.members[self.rng.choice(names)]
        task = asyncio.get_running_loop().create_task(member.serve(call, CALL_TIMEOUT_S, digest))
        await asyncio.wait([task], timeout=CALL_TIMEOUT_S + 0.5)
        if not task.done():
            task.cancel()
            return None
        return None if task.cancelled() or task.exception() else task.result()

    async def submit(
        self, name: str, spec: JobSpec, caller: str = "", prefix: str = PREFIX
    ) -> None:
        """Submit a job, and retry until it is accepted or ``MAX_ATTEMPTS`` attempts were made.

        The callers of an organisation present a key whose digest is that of its name.
        """
        spec = self.cell.register_job(name, spec)
        self.cell.urls[name] = HOST + prefix + name
        self.cell.owners[name] = caller
        digest = key_digest(caller.encode()) if caller else None
        self.open_submissions += 1
        uncertain = False
        try:
            for _ in range(MAX_ATTEMPTS):
                call = CallerCall(Operation.SUBMIT, HOST, prefix + name, spec)
                reply = await self.call(call, digest)
                if reply is not None and reply.outcome is Outcome.DONE:
                    self.accepted.add(name)
                    return
                if reply is None or reply.outcome is Outcome.UNKNOWN:
                    uncertain = True
                await asyncio.sleep(0.3 if reply is None else max(0.3, reply.retry_after))
            if not uncertain:
                self.refused.add(name)
        finally:
            self.open_submissions -= 1

    async def submit_once(self, member: str, name: str) -> CallerReply:
        """Submit a random job once, to the given member."""
        spec = self.cell.register_job(name, self.random_job())
        self.cell.urls[name] = HOST + PREFIX + name
        call = CallerCall(Operation.SUBMIT, HOST, PREFIX + name, spec)
        return await self.members[member].serve(call, CALL_TIMEOUT_S)

    async def cancel(self, name: str) -> None:
        # Without a reply it is unknown whether the job was cancelled.
        self.cancelled.add(name)
        call = CallerCall(Operation.CANCEL, HOST, self._path(name))
        reply = await self.call(call, self._digest(name))
        if reply is not None and reply.outcome is Outcome.NO_JOB:
            self.cancelled_unknown.setdefault(name, loop_time())

    async def state(self, name: str) -> CallerReply | None:
        call = CallerCall(Operation.STATE, HOST, self._path(name))
        return await self.call(call, self._digest(name))

    def _path(self, name: str) -> str:
        """Return the path that a job was submitted to."""
        return self.cell.urls.get(name, HOST + PREFIX + name).removeprefix(HOST)

    def _digest(self, name: str) -> bytes | None:
        """Return the key digest of the organisation that submitted a job."""
        owner = self.cell.owners.get(name, "")
        return key_digest(owner.encode()) if owner else None

    async def traffic(
        self, prefix: str, count: int, every: float, callers: tuple[str, ...] = ("",)
    ) -> None:
        """Submit jobs at random intervals of a given mean, without waiting for the replies."""
        tasks = []
        for number in range(count):
            name = f"{prefix}{number:04x}"
            submission = self.submit(name, self.random_job(), self.rng.choice(callers))
            tasks.append(asyncio.get_running_loop().create_task(submission))
            await asyncio.sleep(self.rng.expovariate(1.0 / every))
        await asyncio.wait(tasks)

    async def model_traffic(self, model: JobModel, count: int, every: float) -> None:
        """Submit jobs of the whole job model, and cancel some of them at any moment."""
        tasks = []
        for number in range(count):
            name = f"d{number:04x}"
            spec = model.job(name)
            tasks.append(asyncio.create_task(self.submit(name, spec)))
            delay = model.cancel_delay(spec)
            if delay is not None:
                tasks.append(asyncio.create_task(self._cancel_later(name, delay)))
            await asyncio.sleep(self.rng.expovariate(1.0 / every))
        await asyncio.wait(tasks)

    async def _cancel_later(self, name: str, delay: float) -> None:
        await asyncio.sleep(delay)
        await self.cancel(name)

    def random_job(self) -> JobSpec:
        """Return a random job."""
        shape = Shape(self.rng.choice((500, 1_000, 4_000, 7_500)), self.rng.choice((500, 8_000)))
        first = StepSpec(count=self.rng.randint(1, 5), shape=shape, expected_ms=1000.0)
        if self.rng.random() < 0.5:
            first = msgspec.structs.replace(first, saves=True)
        kind = self.rng.random()
        if kind < 0.25:
            first = msgspec.structs.replace(first, gang=True)
        elif kind < 0.35:
            first = msgspec.structs.replace(first, spread=2)
        if self.rng.random() < 0.4:
            second = StepSpec(count=self.rng.randint(1, 3), shape=shape, after=(0,))
            return JobSpec("payload", (first, second))
        return JobSpec("payload", (first,))

    # -- Final checks ------------------------------------------------------------------------

    async def settle(self, seconds: float) -> None:
        """Clear all faults and wait until every accepted job has ended, up to ``seconds``."""
        self.clear_faults()
        last = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < last:
            await asyncio.sleep(1.0)
            if not self.open_submissions and not await self.unfinished():
                return

    def clear_faults(self) -> None:
        """Clear all faults and start the members that are down."""
        self.store.down = False
        self.store.unreachable_members.clear()
        self.store.jobs_unread_after.clear()
        self.store.latency_s = 0.004
        self.store.lost_reply_share = 0.0
        self.store.refusal_share = 0.0
        self.store.append_time_s = 0.0
        self.store_path.clear()
        self.cell.late_request_share = 0.0
        self.stalls.share = 0.0
        self.cell.crash_share = 0.0
        for name in self.names:
            self.resume(name)
        self.network.partitions.clear()
        self.network.unreachable.clear()
        for vm in self.cell.vms.values():
            vm.unreachable = vm.refuses_when_cut = False
            vm.rejection_share = 0.0
        self.start_all()

    async def unfinished(self) -> list[str]:
        """Return the accepted jobs that are not in an allowed final state."""
        found = []
        for name in sorted(self.accepted):
            reply = await self.state(name)
            state = None if reply is None else reply.state
            if state not in self.allowed_final_states(name):
                found.append(f"{name}: {reply}")
        return found

    def allowed_final_states(self, name: str) -> set[str]:
        if name in self.cancelled:
            return {"cancelled", "succeeded", "failed"}
        if self.cell.crashes_vms(name):
            return {"succeeded", "failed"}
        if name in self.cell.always_failing or self._has_acknowledged_failure(name):
            return {"failed"}
        # A failed run may have been lost with its VM, so that both states are allowed.
        return {"succeeded", "failed"} if self._may_fail(name) else {"succeeded"}

    def _has_acknowledged_failure(self, name: str) -> bool:
        noted = (self.cell.acknowledged_failures.get(task, ()) for task in self._tasks(name))
        return any(len(ends) >= self.cell.max_attempts for ends in noted)

    def _may_fail(self, name: str) -> bool:
        """Return whether a job may fail: a task of it has failed in all its allowed attempts."""
        if name in self.cell.always_failing:
            return True
        max_attempts = self.cell.max_attempts
        return any(self.cell.failures[task] >= max_attempts for task in self._tasks(name))

    async def find_violations(self) -> list[str]:
        """Return all violations, once the system has settled."""
        violations = self.checker.violations + self.cell.violations
        if any(later <= earlier for earlier, later in pairwise(self.store.claimed_epochs)):
            violations.append(f"epochs claimed twice: {self.store.claimed_epochs}")
        violations += await self.unfinished()
        for name in sorted(self.refused):
            if any(task.startswith(f"{name}.") for task in self.cell.starts):
                violations.append(f"refused, but started: {name}")
        violations += late_starts(self.cell.starts, self.cancelled_unknown)
        for name in sorted(self.accepted - self.cancelled):
            if self._may_fail(name) or self._may_fail_for_crashes(name):
                continue
            missing = [task for task in self._tasks(name) if task not in self.cell.done]
            if missing:
                violations.append(f"shown as done without: {missing}")
        return violations

    def _may_fail_for_crashes(self, name: str) -> bool:
        """Return whether a job may fail because it crashes VMs, and enough of them have crashed.

        A job that merely ran beside such a task has to succeed, however many VMs crashed under it.
        """
        under = (self.cell.crashes_while_running[task] for task in self._tasks(name))
        return self.cell.crashes_vms(name) and max(under, default=0) >= CRASHES_UNTIL_FAILED

    def _tasks(self, name: str) -> Iterator[str]:
        return task_names(name, self.cell.jobs[name])


def _idle_queues(terms: QueueTerms, count: int) -> Iterator[Queue]:
    for number in range(count):
        yield Queue(f"idle{number}.example", f"/q{number}/", terms)


Fault = Callable[["System"], None]
