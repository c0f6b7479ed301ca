"""Names of the lives of workers.

A worker may start again under the id that it had; the Unix millisecond of its start tells its lives
apart. The product names one life of a VM, so that whatever it keeps by that name is of one life.
"""

from sablemount.jobs.model import INCARNATION_SEPARATOR

__all__ = ["entry_of", "is_plain", "life_name"]


def life_name(worker: str, born: int) -> str:
    """Return the name of a life of a worker; its id alone if its start is not known."""
    return f"{worker}{INCARNATION_SEPARATOR}{born}" if born else worker


def entry_of(life: str) -> str:
    """Return the id under which a life is listed and called."""
    return life.partition(INCARNATION_SEPARATOR)[0]


def is_plain(worker: str) -> bool:
    """Tell whether an id can be part of a life's name."""
    return (
        worker.isascii()
        and worker.isprintable()
        and not set(f" {INCARNATION_SEPARATOR}") & set(worker)
    )
