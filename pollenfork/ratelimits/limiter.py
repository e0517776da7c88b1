"""One instance's part in keeping to runners' rate limits; no I/O but sends."""

import itertools

import msgspec

from pollenfork import ids
from pollenfork.loads import limit_messages
from pollenfork.ratelimits import blocks
from pollenfork.ratelimits import coordinator
from pollenfork.ratelimits import edges
from pollenfork.ratelimits import figures
from pollenfork.ratelimits import table
from pollenfork.ratelimits import updates

# A coordinator that doesn't answer is passed over for this long, in seconds,
# and its runner isn't asked for meanwhile.
_PASSED_OVER_S = 1.0
_UNANSWERED_S = 0.1
# A data centre of which nothing is heard for this long, in seconds, has lost
# its instances, and those of others grant for its runners.
_CUT_OFF_S = 60.0
# How long an instance that starts waits for others to tell what they know, in
# seconds.
_INFORMED_S = 0.5
# Ticks come every 0.05 s; a process without any for this long stood still.
_STALL_S = 0.3
# Who stood still for this long, in seconds, may have missed updates.
_ABSENT_S = 1.0


class Asked(msgspec.Struct, frozen=True):
    """A request for a permit that another instance decides.

    Attributes:
        number: Tells it apart.
        runner: A hash of the runner's start.
        tier: The urgency of what is to be sent.
        host: Who decides.
    """

    number: int
    runner: int
    tier: ids.Tier
    host: str


class Answered(msgspec.Struct, frozen=True):
    """What became of one of them."""

    number: int
    granted: bool


class _Lately(msgspec.Struct, frozen=True):
    """The hosts of a data centre, and when they were last known."""

    hosts: list[str]
    at: float


class _Ranked(msgspec.Struct, frozen=True):
    """Hosts, and the first of them in a runner's order."""

    hosts: list[str]
    candidates: list[str]


class Limiter:
    """Knows the limits, asks for permits, and grants those of some runners."""

    def __init__(
        self, host: str, data_centre: str, members: edges.Members
    ) -> None:
        """Starts with no limit known.

        Args:
            host: This instance's.
            data_centre: Where it runs.
            members: The other instances.
        """
        self._host = host
        self._data_centre = data_centre
        self._members = members
        self._table = table.Table()
        self._blocks = blocks.Blocks()
        self._updates = updates.Updates(data_centre, self._table)
        self._coordinators: dict[int, coordinator.Coordinator] = {}
        self._passed_over: dict[str, float] = {}
        self._ranked: dict[int, _Ranked] = {}
        self._lately: dict[str, _Lately] = {}
        self._numbers = itertools.count(1)
        self._pending: dict[int, Asked] = {}
        self._ticked_at: float | None = None
        self._begun_at: float | None = None
        self._tried: set[int] = set()
        self._leaving = False

    # What the instance asks and tells.

    def find_rate(self, runner: int) -> float | None:
        """Returns a runner's limit in requests a second; None: none."""
        return self._table.find(runner)

    def find_informed_at(self, now: float) -> float:
        """Returns when it knows of the limits that others know.

        A moment that has passed: it does. Nobody may be there to tell.
        """
        if self._updates.informed:
            return now
        begun_at = now if self._begun_at is None else self._begun_at
        return begun_at + _INFORMED_S

    def find_blocked_until(
        self, runner: int, tier: ids.Tier, now: float
    ) -> float:
        """Returns when a request of a tier may be sent there at the soonest."""
        if self._table.find(runner) is None:
            untold = runner in self._tried
            return self.find_informed_at(now) if untold else now
        return self._blocks.find_until(runner, tier, now)

    def on_answer(
        self, runner: int, read: figures.Reading, asked_at: float, now: float
    ) -> None:
        """Takes what an answer says of its runner's limit.

        Args:
            runner: A hash of the runner's start.
            read: What it says.
            asked_at: Monotonic seconds at which its request was sent.
            now: Monotonic seconds.
        """
        self._tried.discard(runner)
        if read.readable:
            self._take(runner, table.Limit(read.rate, asked_at, now), now)

    def on_sent(self, runner: int, now: float) -> None:
        """Takes that a request is sent to a runner without a permit.

        While others have yet to tell their limits, no more are sent there until
        it has answered.
        """
        if self.find_informed_at(now) > now:
            self._tried.add(runner)

    def ask(
        self, runner: int, runner_data_centre: str, tier: ids.Tier, now: float
    ) -> Asked | bool:
        """Asks for leave to send one request.

        Args:
            runner: A hash of the runner's start.
            runner_data_centre: Where it runs.
            tier: The request's urgency.
            now: Monotonic seconds.

        Returns:
            Whether it is granted, or the question that another one answers.
        """
        hosts = self._list_candidates(runner, runner_data_centre, now)
        host = self._choose(hosts, now)
        if host is None:
            self._blocks.block(runner, tier, now + _UNANSWERED_S)
            return False
        if host == self._host:
            decision = self._decide(runner, runner_data_centre, tier, now)
            return self._apply(runner, tier, decision, now)
        limit = self._table.write(runner, now)
        if limit is None:
            return True
        asked = Asked(next(self._numbers), runner, tier, host)
        self._pending[asked.number] = asked
        self._members.send_limits(
            host,
            limit_messages.PermitRequest(
                self._data_centre, asked.number, limit, runner_data_centre, tier
            ),
        )
        return asked

    def on_timeout(self, asked: Asked, now: float) -> None:
        """Takes that a question wasn't answered in time."""
        if self._pending.pop(asked.number, None) is None:
            return
        self._passed_over[asked.host] = now + _PASSED_OVER_S
        self._blocks.block(asked.runner, asked.tier, now + _UNANSWERED_S)

    def leave(self, now: float) -> None:
        """Hands the right to grant over, as this instance stops."""
        self._leaving = True
        for runner, each in self._coordinators.items():
            each.suspend()
            reply = limit_messages.CoordinatorReply(
                self._data_centre, runner, leaving=True
            )
            self._send(each.list_rivals(), reply)

    def abandon(self, asked: Asked) -> None:
        """Takes that nobody waits for a question's answer any more."""
        self._pending.pop(asked.number, None)

    def retain(self, runners: set[int], now: float) -> None:
        """Forgets what is of no use any more.

        Args:
            runners: Hashes of the starts of all runners that are known.
            now: Monotonic seconds.
        """
        self._table.retain(runners, now)
        for runner, each in list(self._coordinators.items()):
            if each.is_idle(now):
                del self._coordinators[runner]
        for runner in list(self._ranked):
            if self._table.find(runner) is None:
                del self._ranked[runner]

    # What others tell.

    def hear(
        self, message: limit_messages.LimitMessage, host: str, now: float
    ) -> Answered | None:
        """Takes a message; returns what it answers, if anything."""
        self._note_stall(now)
        match message:
            case limit_messages.LimitUpdates():
                self._on_updates(message, host, now)
            case limit_messages.PermitRequest():
                self._on_request(message, host, now)
            case limit_messages.PermitReply():
                return self._on_reply(message, host, now)
            case limit_messages.CoordinatorCall():
                self._find_coordinator(message.runner, now).on_sign(host, now)
                reply = limit_messages.CoordinatorReply(
                    self._data_centre, message.runner, self._leaving
                )
                self._members.send_limits(host, reply)
            case limit_messages.CoordinatorReply():
                self._find_coordinator(message.runner, now).on_sign(
                    host, now, message.leaving
                )
        return None

    def tick(self, now: float) -> None:
        """Sends what is due; called every 0.05 s."""
        self._note_stall(now)
        self._ticked_at = now
        if self._begun_at is None:
            self._begun_at = now
        self._send_changes(now)
        for runner in list(self._coordinators):
            self._call_rivals(runner, now)
        page = self._updates.take_page(now)
        if page is not None:
            self._send(self._members.pick_pair(), page)
        if self._updates.is_asking(now):
            self._ask_others(now)

    def _ask_others(self, now: float) -> None:
        """Asks some others for all that they know, once any is known."""
        hosts = self._members.pick_fanout()
        question = self._updates.take_question(now) if hosts else None
        if question is not None:
            self._send(hosts, question)

    def _on_updates(
        self, message: limit_messages.LimitUpdates, host: str, now: float
    ) -> None:
        if message.wants_all:
            self._tell_all(host, now)
            return
        others = len(self._members.list_hosts()) - 1
        self._updates.on_answer(host, message.informed, others)
        for told in message.limits:
            self._take(told.runner, table.read(told, now), now)

    def _tell_all(self, host: str, now: float) -> None:
        """Tells what is known here, and whether others have told it all."""
        informed = self.find_informed_at(now) <= now
        for page in self._updates.list_pages(now, informed):
            self._members.send_limits(host, page)

    def _on_request(
        self, message: limit_messages.PermitRequest, host: str, now: float
    ) -> None:
        runner = message.limit.runner
        self._take(runner, table.read(message.limit, now), now)
        decision = self._decide(
            runner, message.runner_data_centre, ids.Tier(message.tier), now
        )
        reply = limit_messages.PermitReply(
            self._data_centre,
            message.number,
            decision.granted,
            round(decision.wait_s * 1000),
            decision.coordinator,
            self._table.write(runner, now),
        )
        self._members.send_limits(host, reply)

    def _on_reply(
        self, message: limit_messages.PermitReply, host: str, now: float
    ) -> Answered | None:
        if message.limit is not None:
            limit = table.read(message.limit, now)
            self._take(message.limit.runner, limit, now)
        asked = self._pending.pop(message.number, None)
        if asked is None or asked.host != host:
            return None
        self._note_successor(asked, message.coordinator, now)
        wait_s = message.wait_ms / 1000.0
        decision = coordinator.Decision(
            message.granted, wait_s, message.coordinator
        )
        granted = self._apply(asked.runner, asked.tier, decision, now)
        return Answered(asked.number, granted)

    def _note_successor(self, asked: Asked, successor: str, now: float) -> None:
        """Passes over a candidate that names a later one instead of itself."""
        rank = coordinator.rank
        if not successor:
            return
        if rank(asked.runner, asked.host) < rank(asked.runner, successor):
            self._passed_over[asked.host] = now + _PASSED_OVER_S

    # Decisions.

    def _take(self, runner: int, said: table.Limit, now: float) -> None:
        if not self._table.take(runner, said):
            return
        if self._table.find(runner) is None:
            self._blocks.forget(runner)
        self._updates.on_change(runner)
        self._send_changes(now)

    def _list_candidates(
        self, runner: int, data_centre: str, now: float
    ) -> list[str]:
        """Returns the hosts that may grant a runner's permits.

        Where a data centre can't be heard its own instances still grant, as
        long as they may be cut off together with their runners.
        """
        hosts = self._members.list_hosts(data_centre)
        if hosts:
            self._lately[data_centre] = _Lately(hosts, now)
        lately = self._lately.get(data_centre)
        if lately is None or now - lately.at > _CUT_OFF_S:
            hosts = self._members.list_hosts()
        else:
            hosts = lately.hosts
        ranked = self._ranked.get(runner)
        if ranked is None or ranked.hosts != hosts:
            found = coordinator.list_candidates(runner, hosts)
            ranked = self._ranked[runner] = _Ranked(hosts, found)
        return ranked.candidates

    def _choose(self, hosts: list[str], now: float) -> str | None:
        """Returns the first candidate that isn't passed over."""
        others = [host for host in hosts if host != self._host]
        for host in others if self._leaving and others else hosts:
            if self._passed_over.get(host, now) <= now:
                return host
        return None

    def _decide(
        self, runner: int, data_centre: str, tier: ids.Tier, now: float
    ) -> coordinator.Decision:
        rate = self._table.find(runner)
        if rate is None:
            return coordinator.Decision(True)
        hosts = self._list_candidates(runner, data_centre, now)
        rivals = [host for host in hosts if host != self._host]
        if self._leaving and rivals:
            return coordinator.Decision(False, 0.0, rivals[0])
        deciding = self._find_coordinator(runner, now)
        decision = deciding.decide(rate, tier, rivals, now)
        self._call_rivals(runner, now)
        return decision

    def _apply(
        self,
        runner: int,
        tier: ids.Tier,
        decision: coordinator.Decision,
        now: float,
    ) -> bool:
        if decision.granted:
            return True
        if decision.coordinator:
            self._passed_over.pop(decision.coordinator, None)
        self._blocks.block(runner, tier, now + decision.wait_s)
        return False

    def _find_coordinator(
        self, runner: int, now: float
    ) -> coordinator.Coordinator:
        known = self._coordinators.get(runner)
        if known is None:
            known = coordinator.Coordinator(runner, self._host, now)
            self._coordinators[runner] = known
        return known

    def _call_rivals(self, runner: int, now: float) -> None:
        if self._leaving:
            return  # A call would claim the right to grant.
        call = limit_messages.CoordinatorCall(self._data_centre, runner)
        self._send(self._coordinators[runner].list_calls(now), call)

    def _note_stall(self, now: float) -> None:
        """Gives up all rights to grant where this process stood still."""
        last = self._ticked_at
        if last is None or now - last <= _STALL_S:
            return
        self._ticked_at = now
        for each in self._coordinators.values():
            each.suspend()
        if now - last > _ABSENT_S:
            self._updates.ask_again(now)

    def _send_changes(self, now: float) -> None:
        changes = self._updates.take_changes(now)
        if changes is not None:
            self._send(self._members.pick_fanout(), changes)

    def _send(
        self, hosts: list[str], message: limit_messages.LimitMessage
    ) -> None:
        for host in hosts:
            self._members.send_limits(host, message)
