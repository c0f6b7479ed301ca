"""Blocks SIGHUP, which announces changed settings, while a process starts.

Without a handler, SIGHUP terminates a process. The platform may send it at any time, and on a busy
machine the imports take a second. A blocked signal is delivered as soon as it is unblocked.
"""

import signal

__all__ = ["block", "unblock"]


def block() -> None:
    """Block SIGHUP."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def unblock() -> None:
    """Unblock SIGHUP and deliver a pending one; its handler must be installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
