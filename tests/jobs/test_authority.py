"""A leader that was paused sends no requests until the store has confirmed it anew."""

import asyncio

from sablemount.control.authority import AUTHORITY_VALIDITY_S, PAUSE_THRESHOLD_S, Authority
from sablemount.control.clock import monotonic
from tests.emulator.loop import run


class _Rig:
    def __init__(self) -> None:
        self.confirmed_at = monotonic()
        self.members = False
        self.asked = 0
        self.authority = Authority(lambda: self.confirmed_at, lambda: self.members, self._ask)

    def _ask(self) -> None:
        self.asked += 1

    def confirm(self, asked_at: float) -> None:
        self.confirmed_at = monotonic()
        self.authority.on_confirmed(asked_at)


def test_orders_end_when_the_store_has_not_answered_for_long() -> None:
    async def scenario() -> None:
        rig = _Rig()
        assert rig.authority.holds()
        for _ in range(4):
            await asyncio.sleep(AUTHORITY_VALIDITY_S / 3)
            rig.authority.tick()
        assert not rig.authority.holds()
        rig.members = True
        assert rig.authority.holds()

    run(scenario())


def test_after_a_pause_the_store_is_asked_first() -> None:
    async def scenario() -> None:
        rig = _Rig()
        await asyncio.sleep(PAUSE_THRESHOLD_S + 0.1)
        rig.members = True
        assert not rig.authority.holds()
        assert rig.asked > 0
        rig.confirm(monotonic())
        assert rig.authority.holds()

    run(scenario())


def test_an_answer_to_what_was_asked_before_the_pause_tells_nothing() -> None:
    async def scenario() -> None:
        rig = _Rig()
        asked_at = monotonic()
        await asyncio.sleep(PAUSE_THRESHOLD_S + 0.1)
        rig.authority.tick()
        rig.confirm(asked_at)
        assert not rig.authority.holds()
        rig.confirm(monotonic())
        assert rig.authority.holds()

    run(scenario())
