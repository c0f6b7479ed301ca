"""Admission of callers: host and path select a queue, an API key identifies an organisation.

Does no I/O. A key is handled only as its digest, so that no table, message or log line can contain
one.
"""

import hashlib

import msgspec

from sablemount.control.messages import CallerCall, CallerReply, Outcome, not_taken_reply
from sablemount.jobs.model import Configuration, Queue, QueueTable

__all__ = ["Gate", "key_digest"]


def key_digest(key: bytes) -> bytes:
    """Return the digest of a key; the timing of its look-up reveals nothing about known keys."""
    return hashlib.sha256(key).digest()


class Gate:
    """Admits callers according to one version of the configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._queues = QueueTable(configuration.queues)
        self._names_by_digest = _names_by_digest(configuration)

    def queue(self, call: CallerCall) -> Queue | None:
        """Return the queue that a call addresses, if any."""
        return self._queues.find(call.host, call.path)

    def admit(self, call: CallerCall, digest: bytes | None) -> CallerCall | CallerReply:
        """Return the call as the leader expects it, with organisation and version, or a refusal.

        ``digest`` is that of the caller's key, ``None`` if it has sent no well-formed one.
        """
        configuration = self.configuration
        if configuration.version < 0:
            return not_taken_reply("no configuration yet", changing=True)
        queue = self.queue(call)
        if queue is None:
            return CallerReply(Outcome.NO_QUEUE, reason="no queue at this host and prefix")
        organisation = "" if digest is None else self._names_by_digest.get(digest, "")
        if configuration.keyed and not organisation and not queue.public:
            return CallerReply(Outcome.NO_KEY, reason="no key of an organisation")
        return msgspec.structs.replace(
            call, organisation=organisation, version=configuration.version
        )

    def admits_identically(self, other: "Gate", call: CallerCall) -> bool:
        """Return whether this version admits a call exactly as ``other`` has admitted it.

        It does if the queue of the call is the same in both versions, and no key has been added,
        removed or assigned to another organisation.
        """
        current, earlier = self.configuration, other.configuration
        if current.keyed != earlier.keyed or self._names_by_digest != other._names_by_digest:
            return False
        queue = self.queue(call)
        return queue is not None and queue == other.queue(call)


def _names_by_digest(configuration: Configuration) -> dict[bytes, str]:
    """Return the names of the organisations by the digests of their keys.

    A key that two organisations share identifies neither, so it admits nobody.
    """
    names: dict[bytes, str] = {}
    shared: set[bytes] = set()
    for organisation in configuration.organisations:
        for digest in organisation.key_digests:
            if names.setdefault(digest, organisation.name) != organisation.name:
                shared.add(digest)
    return {digest: name for digest, name in names.items() if digest not in shared}
