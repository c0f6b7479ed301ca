"""Limits and time intervals of the core; all times are in seconds."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["CoreSettings", "Weights"]

Seconds = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a placement selects among VMs.

    ``packing`` weighs the share of a VM that stays free against the imbalance of its free cores and
    memory: 1 counts only the former, 0 only the latter. The search for candidates ends once it
    has found ``candidates`` VMs.
    """

    packing: Share = 0.5
    candidates: Annotated[int, Meta(ge=1, le=256)] = 12


class CoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and time intervals of one scheduler.

    ``append_budget`` is the maximum number of appends a second of all members together. The
    smallest store in use accepts 600 writing calls a second, so some are left for other clients.
    """

    shards: Count = 12
    tick: Seconds = 0.1

    read_interval: Seconds = 0.25
    read_timeout: Seconds = 1.0
    append_interval: Seconds = 0.05
    append_budget: Seconds = 500.0
    append_timeout: Seconds = 2.0
    append_records: Count = 500
    append_bytes: Count = 900_000
    journal_limit: Count = 20_000
    snapshot_entries: Count = 2_000

    # An owner may act for claim_delay after its latest read of the log. A claimant waits for that
    # time and for settle, which covers commands that are still on their way. drift is the maximum
    # relative difference of the rates of two clocks. Without reads, an owner may go on by promises
    # of the other members, each for promise seconds, but not for longer than hold_limit.
    claim_delay: Seconds = 2.0
    settle: Seconds = 0.5
    drift: Share = 0.001
    promise: Seconds = 60.0
    hold_limit: Seconds = 900.0

    gossip_interval: Seconds = 0.3
    gossip_fanout: Count = 3
    suspect_after: Seconds = 2.0
    evict_after: Seconds = 10.0

    # An owner keeps renewing run leases for renew_grace after its own lease has ended. A VM counts
    # as lost after lost_after polls in a row without an answer.
    run_lease: Seconds = 10.0
    renew_grace: Seconds = 20.0
    renew_interval: Seconds = 1.0
    worker_timeout: Seconds = 1.0
    lost_after: Count = 3

    request_queue: Count = 1_000
    request_attempts: Count = 3
    retry_budget: Share = 0.1
    eject_after: Count = 5
    eject_seconds: Seconds = 5.0
    eject_share: Share = 0.3
    connections: Count = 64

    placements_per_tick: Count = 500
    # The first waiting task of a group rises by one priority level after each period of aging.
    aging: Seconds = 120.0
    preempt_limit: Count = 3
    preempt_timeout: Seconds = 3.0
    weights: Weights = Weights()
