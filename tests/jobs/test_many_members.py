"""A leader of hundreds of members has time left, and accepts all of them when it is new."""

import asyncio
import errno
import socket

import pytest
from tornado.testing import bind_unused_port

from sablemount.control.leader_link import LeaderLink
from sablemount.control.member_settings import MemberSettings
from sablemount.control.messages import LeaderRecord, Message, Ping, Pong, Reply
from sablemount.control.network import Link
from sablemount.control.rpc import TcpNetwork
from sablemount.jobs.settings import JobSettings
from tests.emulator.loop import run
from tests.emulator.network import EmulatedNetwork

MEMBERS = 300
MAX_PINGS_PER_S = 2_000
"""Pings per second that leave a new leader most of a processor core: each takes 0.09 ms of one."""


async def _reject_call(link: Link, message: Message) -> Reply:
    raise AssertionError


@pytest.mark.parametrize("cell", [0, 20, MEMBERS, 10 * MEMBERS])
def test_members_of_a_large_cell_leave_a_new_leader_time_to_load(cell: int) -> None:
    async def scenario() -> None:
        wires = EmulatedNetwork()
        pings = 0

        async def answer(link: Link, message: Message) -> Reply:
            nonlocal pings
            pings += isinstance(message, Ping)
            return Pong(1, False, 0.0, loading=True)

        wires.member_network("leader").listen("leader", answer, lambda link: None)
        settings = MemberSettings("m", "m", JobSettings())
        member = LeaderLink(settings, wires.member_network("m"), _reject_call)
        member.cell = cell
        member.follow(LeaderRecord(1, "leader", "leader", "life"))
        link_task = asyncio.get_running_loop().create_task(member.run())
        await asyncio.sleep(0.9)
        assert min(cell, MEMBERS) * pings / 0.9 < 1.1 * MAX_PINGS_PER_S
        assert pings >= 3
        link_task.cancel()

    run(scenario())


def test_all_members_of_a_large_cell_find_a_place_with_a_leader_that_is_busy() -> None:
    async def scenario() -> None:
        bound_socket, port = bind_unused_port()
        bound_socket.close()
        server = TcpNetwork().listen(f"127.0.0.1:{port}", _reject_call, lambda link: None)
        # The event loop does not run meanwhile, so that no connection is accepted.
        links = [socket.socket() for _ in range(MEMBERS)]
        for link in links:
            link.setblocking(False)
            assert link.connect_ex(("127.0.0.1", port)) in (0, errno.EINPROGRESS)
        assert [link for link in links if not _is_connected(link)] == []
        for link in links:
            link.close()
        server.close_all()

    asyncio.run(scenario())


def _is_connected(link: socket.socket) -> bool:
    try:
        link.getpeername()
    except OSError:
        return False
    return True
