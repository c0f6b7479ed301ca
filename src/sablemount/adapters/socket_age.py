"""How long what was received over a connection has been waiting to be read.

A process that stands still finds requests that have waited in its sockets, and whose callers may
have left long ago. The kernel knows when a socket last received data.
"""

import socket
import struct

from tornado import iostream

from sablemount.boottime import monotonic

__all__ = ["is_closed_by_peer", "seconds_since_received"]

LAST_DATA_RECEIVED = struct.Struct("=52xI")
"""``tcpi_last_data_recv`` of ``struct tcp_info``, in ms: the same on all 64-bit Linux machines."""
MS_PER_S = 1000.0
STARTED_AT = monotonic()
"""When the process began; nothing was received before."""


def seconds_since_received(stream: iostream.IOStream) -> float:
    """Return the seconds since a connection last received data; 0.0 if that is not known.

    It is the least age of what was read from the connection.
    """
    connection = stream.socket
    if connection is None or not hasattr(socket, "TCP_INFO"):
        return 0.0
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except OSError:
        # Closed meanwhile, or not supported by the system.
        return 0.0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0.0
    (age_ms,) = LAST_DATA_RECEIVED.unpack(info)
    return float(min(age_ms / MS_PER_S, monotonic() - STARTED_AT))


def is_closed_by_peer(stream: iostream.IOStream) -> bool:
    """Return whether the peer has closed a connection of which everything else was read."""
    connection = stream.socket
    if stream.closed() or connection is None:
        return True
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
