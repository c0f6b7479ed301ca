"""Answers the calls that a member receives from other members."""

from collections.abc import Callable

from sablemount.control.clock import monotonic
from sablemount.control.configuration_feed import ConfigurationFeed
from sablemount.control.hand_over import Successor
from sablemount.control.leader import Leader
from sablemount.control.leader_link import LeaderLink
from sablemount.control.messages import (
    AdviseCall,
    Announce,
    CallerCall,
    CallerReply,
    ConfigurationCall,
    ConfigurationNews,
    ConfigurationReply,
    LeaderRecord,
    LeaderView,
    Message,
    Ping,
    Pong,
    Reply,
    ViewCall,
    not_taken_reply,
)
from sablemount.control.network import Link
from sablemount.control.ports import AdvicePort

__all__ = ["MemberCalls"]


class MemberCalls:
    """Answers pings, queries about the leader, callers' requests and requests for advice.

    ``leader`` returns the leadership of this process, also while it loads, and ``on_leader``
    receives a later leader that is announced.
    """

    def __init__(
        self,
        link: LeaderLink,
        feed: ConfigurationFeed,
        advice: AdvicePort,
        successor: Successor,
        leader: Callable[[], Leader | None],
        on_leader: Callable[[LeaderRecord], None],
    ) -> None:
        self._link = link
        self._feed = feed
        self._advice = advice
        self._successor = successor
        self._leader = leader
        self._on_leader = on_leader

    async def handle(self, link: Link, message: Message) -> Reply:
        """Answer a call that was received over a link."""
        if isinstance(message, Ping):
            return self._answer_ping(link, message)
        if isinstance(message, ViewCall):
            return self._view()
        if isinstance(message, Announce):
            self._on_leader(message.leader)
            return self._view()
        if isinstance(message, CallerCall):
            return await self._serve(message)
        if isinstance(message, ConfigurationCall):
            return await self._feed.source.answer(link.peer, message)
        if isinstance(message, ConfigurationNews):
            self._feed.offer(message.configuration, "member")
            return ConfigurationReply()
        if isinstance(message, AdviseCall):
            return await self._advice.advise(message.step, message.vms, message.timeout)
        return self._successor.on_takeover_request(message)

    def _view(self) -> LeaderView:
        leader = self._leader()
        if leader is not None and leader.leading:
            return LeaderView(leader.epoch, 0.0, True, self._link.record)
        age = self._link.suspicion.silent_for(monotonic())
        return LeaderView(self._link.epoch, age, self._link.is_connected, self._link.record)

    def _answer_ping(self, link: Link, ping: Ping) -> Pong:
        leader = self._leader()
        if leader is None or not leader.leading:
            loading = leader is not None and not leader.ended.is_set()
            loaded = leader.load_progress.high_water_bytes if leader is not None and loading else -1
            record = self._link.record
            return Pong(self._link.epoch, False, 0.0, loading, leader=record, loaded=loaded)
        if ping.epoch > leader.epoch:
            leader.end("a member knows a later leader")
            return Pong(leader.epoch, False, 0.0)
        leader.members.on_ping(link, ping)
        self._feed.on_ping(link, ping.configuration)
        membership_list = leader.membership_list
        membership_list.record_address(ping.name, ping.address)
        members = membership_list.addresses_since(ping.roster)
        return Pong(
            leader.epoch,
            True,
            leader.committer.reported_silence(),
            members=members,
            roster=ping.roster if members is None else membership_list.version,
            configuration=self._feed.version,
            configuration_age=self._feed.age,
            cell=0 if ping.cell == leader.members.size else leader.members.size,
            best=leader.members.best_standing(),
        )

    async def _serve(self, call: CallerCall) -> CallerReply:
        leader = self._leader()
        if leader is None or not leader.leading:
            return not_taken_reply("this member does not lead", changing=True)
        return await leader.serve(self._feed.readmit(call))
