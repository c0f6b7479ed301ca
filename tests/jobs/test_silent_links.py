"""Open connections that fall silent without a reset cause no change of leader and no lost
request."""

import asyncio

import pytest

from sablemount.control.messages import Outcome
from tests.emulator.loop import run
from tests.emulator.system import System

MEMBERS = 12


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("sides", ["both", "calls", "answers"])
def test_all_open_links_fall_silent_at_once(seed: int, sides: str) -> None:
    async def scenario() -> None:
        system = System(seed, members=MEMBERS)
        system.start_all()
        await asyncio.sleep(2.0)
        links = system.network.links()
        half = len(links) // 2
        for link in {"both": links, "calls": links[half:], "answers": links[:half]}[sides]:
            link.drops_frames = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        calls = [
            asyncio.create_task(system.submit_once(name, f"a{number:04x}"))
            for number, name in enumerate(system.names)
        ]
        replies = await asyncio.gather(*calls)
        assert {reply.outcome for reply in replies} == {Outcome.DONE}
        assert loop.time() - began < 1.0
        await asyncio.sleep(3.0)
        assert system.store.claimed_epochs == [1]

    run(scenario())
