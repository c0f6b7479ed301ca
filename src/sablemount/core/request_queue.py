"""Requests between their arrival and their answer, and the bounded queue of those that wait."""

from collections import deque

from sablemount.core.documents import CLASS_ORDER, TemplateDocument
from sablemount.core.events import RequestArrived

__all__ = ["RequestQueue", "RequestRow"]


class RequestRow:
    """A request between its arrival and its answer."""

    __slots__ = (
        "arrival",
        "arrived",
        "attempt",
        "may_have_run",
        "not_before",
        "order",
        "sent",
        "template",
    )

    def __init__(self, arrival: RequestArrived, template: TemplateDocument, now: float) -> None:
        self.arrival = arrival
        self.template = template
        self.order = CLASS_ORDER[template.priority]
        self.arrived = now
        self.attempt = 0
        self.sent = False
        self.may_have_run = False
        self.not_before = 0.0

    @property
    def name(self) -> str:
        """Return the request's id."""
        return self.arrival.request


class RequestQueue:
    """Waiting requests by class, the best paid first."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._classes: list[deque[RequestRow]] = [deque() for _ in CLASS_ORDER]

    @property
    def full(self) -> bool:
        """Tell whether the queue has reached its limit."""
        return sum(len(queue) for queue in self._classes) >= self._limit

    def ahead_of(self, order: int) -> int:
        """Return how many requests go before a new one of a class."""
        return sum(len(queue) for queue in self._classes[: order + 1])

    def push(self, row: RequestRow) -> None:
        """Enter a request behind its class."""
        self._classes[row.order].append(row)

    def push_front(self, row: RequestRow) -> None:
        """Enter a request that has had its turn before."""
        self._classes[row.order].appendleft(row)

    def first(self) -> RequestRow | None:
        """Return the request whose turn it is."""
        return next((queue[0] for queue in self._classes if queue), None)

    def pop(self) -> None:
        """Take out the request whose turn it is."""
        next(queue for queue in self._classes if queue).popleft()

    def pop_least_paid(self, below: int) -> RequestRow | None:
        """Take out the latest of the least paid class, if it pays less than ``below``."""
        for order in range(len(self._classes) - 1, below, -1):
            if self._classes[order]:
                return self._classes[order].pop()
        return None

    def pop_late(self, now: float) -> list[RequestRow]:
        """Take out the requests whose deadline has passed."""
        late: list[RequestRow] = []
        for order, queue in enumerate(self._classes):
            found = [row for row in queue if row.arrival.deadline <= now]
            if found:
                late.extend(found)
                kept = (row for row in queue if row.arrival.deadline > now)
                self._classes[order] = deque(kept)
        return late
