"""Permits for requests to runners that name a rate limit."""

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

# A coordinator answers within milliseconds; a process that has used up its
# part of a core stands still for up to 0.1 s.
_ANSWER_S = 0.12
_LOOK_S = 0.02
# Requests refused within this time are expected to come back.
_WINDOW_S = 2.0


class Peers(Protocol):
    """The other instances, as far as permits need them."""

    @property
    def instances(self) -> int:
        """How many instances are known, this one included."""

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns all hosts known, or those of a data centre."""

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to tell news."""

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one elsewhere."""

    def tell(self, host: str, message: loads.Message) -> None:
        """Sends one instance a message."""


class NoPeers:
    """No other instances."""

    instances = 1

    def __init__(self, host: str) -> None:
        self._host = host

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns this one's host."""
        return [self._host]

    def pick_fanout(self) -> list[str]:
        """Returns none."""
        return []

    def pick_pair(self) -> list[str]:
        """Returns none."""
        return []

    def tell(self, host: str, message: loads.Message) -> None:
        """Sends nothing."""


class Counts(msgspec.Struct):
    """What became of requests for permits."""

    granted: int = 0
    refused: int = 0
    unanswered: int = 0


class Permits:
    """Asks for permits and waits for the answers.

    Attributes:
        counts: What became of its requests.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: str, data_centre: str
    ) -> None:
        """Starts with no limit known, and no other instances.

        Args:
            loop: Its clock is used.
            host: This instance's.
            data_centre: Where it runs.
        """
        self._loop = loop
        self._others: Peers = NoPeers(host)
        self._limiter = limiter.Limiter(host, data_centre, self)
        self._waiting: dict[int, asyncio.Future[bool]] = {}
        self._joined = False
        self._refused: dict[
            ids.ServiceName, collections.deque[tuple[float, ids.Tier]]
        ] = {}
        self.counts = Counts()

    def join(self, others: Peers) -> None:
        """Takes the other instances."""
        self._others = others
        self._joined = True

    async def wait_informed(self) -> None:
        """Returns once it is known which limits others know of."""
        while not self.is_informed():
            await asyncio.sleep(_LOOK_S)

    def on_sent(self, grant: outcomes.Grant) -> None:
        """Takes that a request is sent to a runner without a limit."""
        if self._joined:
            self._limiter.on_sent(
                grant.state.incarnation_hash, self._loop.time()
            )

    def is_informed(self) -> bool:
        """Returns whether it is known which limits others know of."""
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
        """Takes what a runner's answer says of its limit.

        Args:
            grant: The runner.
            read: What it says.
            asked_at: Monotonic seconds at which its request was sent.
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
        """Returns seconds after which a refused request is likely served.

        All that were refused lately and are as urgent come back, here and at
        the other instances, and the runners take them at their rate.
        """
        now = self._loop.time()
        refused = self._refused.setdefault(service, collections.deque())
        while refused and refused[0][0] <= now - _WINDOW_S:
            refused.popleft()
        before = sum(urgency <= tier for _, urgency in refused)
        refused.append((now, tier))
        backlog = before * self._others.instances
        return limited.wait_s + backlog / max(limited.rate, parsing.MIN_RATE)

    def hear(self, message: limit_messages.LimitMessage, host: str) -> None:
        """Takes a message of another instance."""
        answered = self._limiter.receive(message, host, self._loop.time())
        if answered is None:
            return
        waiting = self._waiting.get(answered.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answered.granted)

    def leave(self) -> None:
        """Lets others grant permits, as this instance stops."""
        self._limiter.leave(self._loop.time())

    def tick(self) -> None:
        """Sends what is due; called every 0.05 s."""
        self._limiter.tick(self._loop.time())

    def retain(self, runners: set[int]) -> None:
        """Forgets runners that aren't known any more, by their hashes."""
        self._limiter.retain(runners, self._loop.time())

    # What the choice of runners asks.

    def find_rate(self, runner: int) -> float | None:
        """Returns a runner's limit in requests a second; None: none."""
        return self._limiter.find_rate(runner)

    def find_blocked_until(
        self, runner: int, tier: ids.Tier, now: float
    ) -> float:
        """Returns when a request of a tier may be sent there at the soonest."""
        return self._limiter.find_blocked_until(runner, tier, now)

    # What the limiter asks.

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns all hosts known, or those of a data centre."""
        return self._others.list_hosts(data_centre)

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to tell an update."""
        return self._others.pick_fanout()

    def pick_pair(self) -> list[str]:
        """Returns the next host here and the next one elsewhere."""
        return self._others.pick_pair()

    def send_limits(
        self, host: str, message: limit_messages.LimitMessage
    ) -> None:
        """Sends one instance a message."""
        self._others.tell(host, message)

    async def _wait(self, asked: limiter.PendingPermit) -> bool | None:
        """Returns the answer; None where none came in time."""
        waiting: asyncio.Future[bool] = self._loop.create_future()
        self._waiting[asked.number] = waiting
        try:
            async with asyncio.timeout(_ANSWER_S):
                return await waiting
        except TimeoutError:
            self._limiter.on_timeout(asked, self._loop.time())
            self.counts.unanswered += 1
            return None
        finally:
            del self._waiting[asked.number]
            self._limiter.cancel(asked)
