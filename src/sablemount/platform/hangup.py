"""Holds back the signal that settings have changed while a process starts.

Without a handler it ends a process; the platform may send it at any time, and on a busy machine the
imports take a second. A signal that is held back is taken as soon as the handler is there.
"""

import signal

__all__ = ["hold", "release"]


def hold() -> None:
    """Hold the signal back from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release() -> None:
    """Take the signal from now on, and one that came meanwhile; its handler must be there."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
