"""Permits for requests to runners that declare a rate limit."""

import asyncio
import collections
from typing import Protocol

import msgspec

from pollenfork import ids
from pollenfork.fleet import outcomes
from pollenfork.loads import limit_messages
from pollenfork.loads import messages as loads
from pollenfork.ratelimits import limiter
from pollenfork.ratelimits import parsing

# The time in which a coordinator must answer, in seconds. It normally answers
# within milliseconds, but a process that has used up its CPU quota is paused
# for up to 0.1 s.
_ANSWER_TIMEOUT_S = 0.12
_POLL_S = 0.02
# Requests refused within this many seconds are expected to be retried.
_WINDOW_S = 2.0


class Peers(Protocol):
    """What permits need of the other instances."""

    @property
    def instances(self) -> int:
        """How many instances are known, including this one."""

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns all known hosts, or those of one data centre."""

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to send updates to."""

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one elsewhere."""

    def send(self, host: str, message: loads.Message) -> None:
        """Sends one instance a message."""


class NoPeers:
    """Stands for the absence of other instances."""

    instances = 1

    def __init__(self, host: str) -> None:
        self._host = host

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns this instance's host."""
        return [self._host]

    def pick_fanout(self) -> list[str]:
        """Returns none."""
        return []

    def pick_pair(self) -> list[str]:
        """Returns none."""
        return []

    def send(self, host: str, message: loads.Message) -> None:
        """Sends nothing."""


class Counts(msgspec.Struct):
    """The results of requests for permits."""

    granted: int = 0
    refused: int = 0
    unanswered: int = 0


class Permits:
    """Requests permits and waits for the answers.

    Attributes:
        counts: The results of its requests.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: str, data_centre: str
    ) -> None:
        """Starts without known limits and without other instances.

        Args:
            loop: Provides the clock.
            host: This instance's host.
            data_centre: This instance's data centre.
        """
        self._loop = loop
        self._peers: Peers = NoPeers(host)
        self._limiter = limiter.Limiter(host, data_centre, self)
        self._waiting: dict[int, asyncio.Future[bool]] = {}
        self._joined = False
        self._refused: dict[
            ids.ServiceName, collections.deque[tuple[float, ids.Tier]]
        ] = {}
        self.counts = Counts()

    def join(self, peers: Peers) -> None:
        """Sets the other instances."""
        self._peers = peers
        self._joined = True

    async def wait_informed(self) -> None:
        """Returns once peers' limits are known here."""
        while not self.is_informed():
            await asyncio.sleep(_POLL_S)

    def on_sent(self, grant: outcomes.Grant) -> None:
        """Records a request sent to a runner without a known limit."""
        if self._joined:
            self._limiter.on_sent(
                grant.state.incarnation_hash, self._loop.time()
            )

    def is_informed(self) -> bool:
        """Returns whether peers' limits are known here."""
        now = self._loop.time()
        return not self._joined or self._limiter.find_informed_at(now) <= now

    async def acquire(self, grant: outcomes.Grant, tier: ids.Tier) -> bool:
        """Returns whether one request may be sent to a runner now.

        Args:
            grant: The runner, as chosen.
            tier: The request's urgency.
        """
        asked = self._limiter.request_permit(
            grant.state.incarnation_hash,
            grant.runner.data_centre,
            tier,
            self._loop.time(),
        )
        granted = asked if isinstance(asked, bool) else await self._wait(asked)
        if granted:
            self.counts.granted += 1
        elif granted is not None:
            self.counts.refused += 1
        return bool(granted)

    def on_answer(
        self, grant: outcomes.Grant, read: parsing.ParsedLimit, asked_at: float
    ) -> None:
        """Records what a runner's answer declares about its limit.

        Args:
            grant: The runner.
            read: The declared limit.
            asked_at: Monotonic seconds at which the request was sent.
        """
        now = self._loop.time()
        self._limiter.on_answer(
            grant.state.incarnation_hash, read, asked_at, now
        )

    def estimate_retry_after(
        self,
        service: ids.ServiceName,
        tier: ids.Tier,
        limited: outcomes.Limited,
    ) -> float:
        """Returns the seconds after which a refused request should be retried.

        It assumes that all recently refused requests that are at least as
        urgent will be retried, here and at the other instances, and that the
        runners accept them at their rate.
        """
        now = self._loop.time()
        refused = self._refused.setdefault(service, collections.deque())
        while refused and refused[0][0] <= now - _WINDOW_S:
            refused.popleft()
        ahead = sum(urgency <= tier for _, urgency in refused)
        refused.append((now, tier))
        backlog = ahead * self._peers.instances
        return limited.wait_s + backlog / max(limited.rate, parsing.MIN_RATE)

    def receive(self, message: limit_messages.LimitMessage, host: str) -> None:
        """Handles a message of another instance."""
        answered = self._limiter.receive(message, host, self._loop.time())
        if answered is None:
            return
        waiting = self._waiting.get(answered.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answered.granted)

    def leave(self) -> None:
        """Hands over granting permits to others, as this instance stops."""
        self._limiter.leave(self._loop.time())

    def tick(self) -> None:
        """Sends what is due; called every 0.05 s."""
        self._limiter.tick(self._loop.time())

    def retain(self, runners: set[int]) -> None:
        """Drops all runners but these, which are given by their hashes."""
        self._limiter.retain(runners, self._loop.time())

    # Called when choosing runners.

    def find_rate(self, runner: int) -> float | None:
        """Returns a runner's limit in requests a second, if it has one."""
        return self._limiter.find_rate(runner)

    def find_blocked_until(
        self, runner: int, tier: ids.Tier, now: float
    ) -> float:
        """Returns the earliest time to send a runner a request of a tier."""
        return self._limiter.find_blocked_until(runner, tier, now)

    # Called by the limiter.

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns all known hosts, or those of one data centre."""
        return self._peers.list_hosts(data_centre)

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to send an update to."""
        return self._peers.pick_fanout()

    def pick_pair(self) -> list[str]:
        """Returns the next host in this data centre and the next elsewhere."""
        return self._peers.pick_pair()

    def send_limits(
        self, host: str, message: limit_messages.LimitMessage
    ) -> None:
        """Sends one instance a message."""
        self._peers.send(host, message)

    async def _wait(self, asked: limiter.PendingPermit) -> bool | None:
        """Returns the answer, or None if it didn't arrive in time."""
        waiting: asyncio.Future[bool] = self._loop.create_future()
        self._waiting[asked.number] = waiting
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                return await waiting
        except TimeoutError:
            self._limiter.on_timeout(asked, self._loop.time())
            self.counts.unanswered += 1
            return None
        finally:
            del self._waiting[asked.number]
            self._limiter.cancel(asked)
