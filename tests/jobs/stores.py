"""An emulated store in which a test intercepts appends."""

from sablemount.control.store import AppendResult, Producer, Topic
from sablemount.jobs.records import Record
from tests.emulator.store import EmulatedStore


class InterceptingStore(EmulatedStore):
    """Carries out an append unless ``arranged`` returns an answer for it."""

    async def append(
        self,
        topic: Topic,
        records: list[Record],
        timeout: float,
        producer: Producer | None = None,
        at: int | None = None,
    ) -> AppendResult:
        answer = await self.arranged(records, timeout)
        if answer is not None:
            return answer
        return await super().append(topic, records, timeout, producer, at)

    async def arranged(self, records: list[Record], timeout: float) -> AppendResult | None:
        raise NotImplementedError
