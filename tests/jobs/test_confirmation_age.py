"""A delayed answer to a ping does not make a member's configuration look more recent.

A member that fails closed serves callers only while its configuration was confirmed recently. The
leader's answer to a ping contains the age of its own confirmation; the delay of the answer must not
make the member's confirmation more recent than the leader's was.
"""

import asyncio
import random

from sablemount.control.configuration_feed import ConfigurationFeed
from sablemount.control.figures import Metrics
from sablemount.control.leader_link import PING_TIMEOUT_S, LeaderLink
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import LeaderRecord, Message, Pong, Reply
from sablemount.jobs.model import Configuration
from sablemount.jobs.settings import JobSettings
from tests.emulator.directory import Codec
from tests.emulator.loop import run
from tests.emulator.network import EmulatedNetwork

ANSWER_DELAY_S = PING_TIMEOUT_S - 0.05


class _SlowLink:
    """A link that delays answers; the leader itself answers at once."""

    closed = False
    peer = "leader"

    def __init__(self, confirmed_at: float) -> None:
        self._confirmed_at = confirmed_at

    async def call(self, message: Message, timeout: float) -> Reply:
        age = asyncio.get_running_loop().time() - self._confirmed_at
        pong = Pong(1, True, 0.0, configuration=1, configuration_age=age)
        await asyncio.sleep(ANSWER_DELAY_S)
        return pong


def test_a_late_answer_does_not_make_a_configuration_younger() -> None:
    async def scenario() -> None:
        async def refuse(link: object, message: Message) -> Reply:
            raise AssertionError

        settings = MemberSettings("m", "m", JobSettings())
        link = LeaderLink(settings, EmulatedNetwork().member_network("m"), refuse)
        link.follow(LeaderRecord(1, "leader", "leader", "life"))
        feed = ConfigurationFeed(
            Codec(), link, Metrics(), lambda work: asyncio.get_running_loop().create_task(work)
        )
        feed.offer(Configuration(1), "store")
        link.on_pong = feed.on_pong
        confirmed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(random.Random(1).uniform(0.5, 1.0))
        await link._ping(_SlowLink(confirmed_at))
        assert feed.confirmed_at <= confirmed_at + 0.001

    run(scenario())
