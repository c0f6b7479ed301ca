"""Requests that have not been answered yet, and the bounded queue of those that wait."""

from collections import deque

from sablemount.core.documents import PRIORITY_RANK, TemplateDocument
from sablemount.core.events import RequestArrived

__all__ = ["RequestQueue", "RequestRow"]


class RequestRow:
    """A request that has not been answered yet.

    ``priority_rank`` is 0 for the highest priority class. ``sent`` is set once the request has
    been sent to a VM or a peer, and cleared before a retry if it certainly did not run there.
    ``may_have_run`` is set once an attempt may have run. The next attempt is not made before
    ``not_before``.
    """

    __slots__ = (
        "arrival",
        "arrived_at",
        "attempts",
        "may_have_run",
        "not_before",
        "priority_rank",
        "sent",
        "template",
    )

    def __init__(self, arrival: RequestArrived, template: TemplateDocument, now: float) -> None:
        self.arrival = arrival
        self.template = template
        self.priority_rank = PRIORITY_RANK[template.priority]
        self.arrived_at = now
        self.attempts = 0
        self.sent = False
        self.may_have_run = False
        self.not_before = 0.0

    @property
    def name(self) -> str:
        """Return the request's id."""
        return self.arrival.request


class RequestQueue:
    """Waiting requests, the highest priority class first and in order of arrival within one."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._classes: list[deque[RequestRow]] = [deque() for _ in PRIORITY_RANK]

    @property
    def full(self) -> bool:
        """Return whether the queue has reached its limit."""
        return sum(len(queue) for queue in self._classes) >= self._limit

    def count_ahead(self, rank: int) -> int:
        """Return the number of waiting requests that are served before a new one of a class."""
        return sum(len(queue) for queue in self._classes[: rank + 1])

    def push(self, row: RequestRow) -> None:
        """Append a request to the queue of its class."""
        self._classes[row.priority_rank].append(row)

    def push_front(self, row: RequestRow) -> None:
        """Put a request back at the head of the queue of its class."""
        self._classes[row.priority_rank].appendleft(row)

    def peek(self) -> RequestRow | None:
        """Return the next request, or ``None`` if none waits."""
        return next((queue[0] for queue in self._classes if queue), None)

    def pop(self) -> None:
        """Remove the next request."""
        next(queue for queue in self._classes if queue).popleft()

    def pop_lowest_priority(self, below: int) -> RequestRow | None:
        """Remove the newest request of the lowest class, if that ranks below ``below``.

        Return ``None`` if there is no such request.
        """
        for rank in range(len(self._classes) - 1, below, -1):
            if self._classes[rank]:
                return self._classes[rank].pop()
        return None

    def pop_expired(self, now: float) -> list[RequestRow]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[RequestRow] = []
        for rank, queue in enumerate(self._classes):
            found = [row for row in queue if row.arrival.deadline <= now]
            if found:
                expired.extend(found)
                remaining = (row for row in queue if row.arrival.deadline > now)
                self._classes[rank] = deque(remaining)
        return expired
