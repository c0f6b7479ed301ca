"""Names of the incarnations of workers.

A worker can restart under the same id; the Unix time of its start, in milliseconds, distinguishes
its incarnations. The scheduler's name of a VM identifies one incarnation, so that all state stored
under this name belongs to that incarnation.
"""

from sablemount.jobs.model import INCARNATION_SEPARATOR

__all__ = ["worker_id_of", "is_valid_id", "incarnation_name"]


def incarnation_name(worker: str, born: int) -> str:
    """Return the name of a worker's incarnation: its id alone if its time of start is unknown."""
    return f"{worker}{INCARNATION_SEPARATOR}{born}" if born else worker


def worker_id_of(incarnation: str) -> str:
    """Return the worker id under which an incarnation is listed and called."""
    return incarnation.partition(INCARNATION_SEPARATOR)[0]


def is_valid_id(worker: str) -> bool:
    """Return whether an id can be part of an incarnation's name."""
    return (
        worker.isascii()
        and worker.isprintable()
        and not set(f" {INCARNATION_SEPARATOR}") & set(worker)
    )
