"""Which callers are let in: by host and path to a queue, by key to an organisation.

Pure. A key is only ever handled as its digest, so that no table, message or log line can hold one.
"""

import hashlib

import msgspec

from sablemount.control.messages import CallerCall, CallerReply, Outcome, not_taken
from sablemount.jobs.model import Configuration, Queue, QueueTable

__all__ = ["Gate", "key_digest"]


def key_digest(key: bytes) -> bytes:
    """Return what stands for a key: looking it up tells nothing of the keys that are known."""
    return hashlib.sha256(key).digest()


class Gate:
    """Admits callers by one version of the configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._queues = QueueTable(configuration.queues)
        self._names = _names(configuration)

    def queue(self, call: CallerCall) -> Queue | None:
        """Return the queue that a call is for."""
        return self._queues.find(call.host, call.path)

    def admit(self, call: CallerCall, digest: bytes | None) -> CallerCall | CallerReply:
        """Return a call as the leader takes it, or its refusal.

        ``digest`` is that of the caller's key, ``None`` if it has shown none that is well formed.
        """
        configuration = self.configuration
        if configuration.version < 0:
            return not_taken("no configuration yet", changing=True)
        queue = self.queue(call)
        if queue is None:
            return CallerReply(Outcome.NO_QUEUE, reason="no queue at this host and prefix")
        organisation = "" if digest is None else self._names.get(digest, "")
        if configuration.keyed and not organisation and not queue.public:
            return CallerReply(Outcome.NO_KEY, reason="no key of an organisation")
        return msgspec.structs.replace(
            call, organisation=organisation, version=configuration.version
        )

    def admits_alike(self, former: "Gate", call: CallerCall) -> bool:
        """Tell whether what another version has admitted is admitted just so by this one.

        So it is if its queue is the same in both, and no key has come, gone or changed hands.
        """
        here, there = self.configuration, former.configuration
        if here.keyed != there.keyed or self._names != former._names:
            return False
        queue = self.queue(call)
        return queue is not None and queue == former.queue(call)


def _names(configuration: Configuration) -> dict[bytes, str]:
    """Return the organisations by the digests of their keys.

    A key of two organisations tells neither, so that it opens nothing.
    """
    names: dict[bytes, str] = {}
    doubled: set[bytes] = set()
    for organisation in configuration.organisations:
        for digest in organisation.key_digests:
            if names.setdefault(digest, organisation.name) != organisation.name:
                doubled.add(digest)
    return {digest: name for digest, name in names.items() if digest not in doubled}
