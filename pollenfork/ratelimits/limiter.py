"""One instance's part in keeping to runners' rate limits.

It performs no I/O itself; messages are sent through `edges.Members`.
"""

import itertools

import msgspec

from pollenfork import ids
from pollenfork.loads import limit_messages
from pollenfork.ratelimits import blocks
from pollenfork.ratelimits import coordinator
from pollenfork.ratelimits import edges
from pollenfork.ratelimits import parsing
from pollenfork.ratelimits import table
from pollenfork.ratelimits import updates

# How long a coordinator that didn't answer in time is skipped, and how long no
# permit for its runner is requested meanwhile, in seconds.
_UNRESPONSIVE_S = 1.0
_UNANSWERED_S = 0.1
# A data centre without a known instance for this long, in seconds, has lost
# them all, and instances of other data centres grant its runners' permits.
_PARTITION_S = 60.0
# How long a new instance waits for others to send the limits that they know, in
# seconds.
_INFORMED_S = 0.5
# Ticks come every 0.05 s; a process without one for this long was suspended.
_STALL_S = 0.3
# A process suspended for this long, in seconds, may have missed updates.
_ABSENT_S = 1.0


class PendingPermit(msgspec.Struct, frozen=True):
    """A permit request that another instance has yet to answer.

    Attributes:
        number: Identifies it at this instance.
        runner: A hash of the runner's incarnation.
        tier: The urgency of the request to be sent.
        host: The host that decides.
    """

    number: int
    runner: int
    tier: ids.Tier
    host: str


class PermitResult(msgspec.Struct, frozen=True):
    """The outcome of a pending permit request."""

    number: int
    granted: bool


class _LastHosts(msgspec.Struct, frozen=True):
    """The last known hosts of a data centre, and when they were known."""

    hosts: list[str]
    at: float


class _Ranked(msgspec.Struct, frozen=True):
    """Hosts, and the candidates among them for a runner."""

    hosts: list[str]
    candidates: list[str]


class Limiter:
    """Tracks limits, requests permits, and grants those of some runners."""

    def __init__(
        self, host: str, data_centre: str, members: edges.Members
    ) -> None:
        """Starts with no limit known.

        Args:
            host: This instance's host.
            data_centre: Where it runs.
            members: The other instances.
        """
        self._host = host
        self._data_centre = data_centre
        self._members = members
        self._table = table.LimitTable()
        self._blocks = blocks.Blocks()
        self._updates = updates.Updates(data_centre, self._table)
        self._coordinators: dict[int, coordinator.Coordinator] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._ranked: dict[int, _Ranked] = {}
        self._last_hosts: dict[str, _LastHosts] = {}
        self._numbers = itertools.count(1)
        self._pending: dict[int, PendingPermit] = {}
        self._ticked_at: float | None = None
        self._started_at: float | None = None
        self._sent: set[int] = set()
        self._leaving = False

    # Called by this instance.

    def find_rate(self, runner: int) -> float | None:
        """Returns a runner's limit in requests a second; None: no limit."""
        return self._table.find(runner)

    def find_informed_at(self, now: float) -> float:
        """Returns when this instance knows the limits that others know.

        A moment that has passed means that it does. The wait is bounded, as
        there may be no other instance.
        """
        if self._updates.informed:
            return now
        started_at = now if self._started_at is None else self._started_at
        return started_at + _INFORMED_S

    def find_blocked_until(
        self, runner: int, tier: ids.Tier, now: float
    ) -> float:
        """Returns the earliest time to send a runner a request of a tier."""
        if self._table.find(runner) is None:
            waiting = runner in self._sent
            return self.find_informed_at(now) if waiting else now
        return self._blocks.find_until(runner, tier, now)

    def on_answer(
        self,
        runner: int,
        parsed: parsing.ParsedLimit,
        requested_at: float,
        now: float,
    ) -> None:
        """Applies the limit that a runner's answer states.

        Args:
            runner: A hash of the runner's incarnation.
            parsed: The limit.
            requested_at: Monotonic seconds at which the request was sent.
            now: Monotonic seconds.
        """
        self._sent.discard(runner)
        if parsed.readable:
            self._update(
                runner, table.Limit(parsed.rate, requested_at, now), now
            )

    def on_sent(self, runner: int, now: float) -> None:
        """Notes that a request was sent to a runner without a permit.

        Until others have sent the limits they know, no further request goes to
        the runner before it has answered.
        """
        if self.find_informed_at(now) > now:
            self._sent.add(runner)

    def request_permit(
        self, runner: int, runner_data_centre: str, tier: ids.Tier, now: float
    ) -> PendingPermit | bool:
        """Requests a permit to send one request.

        Args:
            runner: A hash of the runner's incarnation.
            runner_data_centre: The runner's data centre.
            tier: The request's urgency.
            now: Monotonic seconds.

        Returns:
            Whether it is granted, or the pending request if another instance
            decides.
        """
        hosts = self._list_candidates(runner, runner_data_centre, now)
        host = self._choose(hosts, now)
        if host is None:
            self._blocks.block(runner, tier, now + _UNANSWERED_S)
            return False
        if host == self._host:
            decision = self._decide(runner, runner_data_centre, tier, now)
            return self._apply(runner, tier, decision, now)
        limit = self._table.export(runner, now)
        if limit is None:
            return True
        pending = PendingPermit(next(self._numbers), runner, tier, host)
        self._pending[pending.number] = pending
        self._members.send_limits(
            host,
            limit_messages.PermitRequest(
                self._data_centre,
                pending.number,
                limit,
                runner_data_centre,
                tier,
            ),
        )
        return pending

    def on_timeout(self, pending: PendingPermit, now: float) -> None:
        """Notes that a pending permit request wasn't answered in time."""
        if self._pending.pop(pending.number, None) is None:
            return
        self._unresponsive_until[pending.host] = now + _UNRESPONSIVE_S
        self._blocks.block(pending.runner, pending.tier, now + _UNANSWERED_S)

    def leave(self, now: float) -> None:
        """Hands over the right to grant permits, as this instance stops."""
        self._leaving = True
        for runner, each in self._coordinators.items():
            each.suspend()
            reply = limit_messages.CoordinatorReply(
                self._data_centre, runner, leaving=True
            )
            self._send(each.list_others(), reply)

    def cancel(self, pending: PendingPermit) -> None:
        """Drops a pending permit request whose answer isn't needed any more."""
        self._pending.pop(pending.number, None)

    def retain(self, runners: set[int], now: float) -> None:
        """Drops state of unknown runners, ended limits and idle coordinators.

        Args:
            runners: Hashes of the incarnations of all known runners.
            now: Monotonic seconds.
        """
        self._table.retain(runners, now)
        for runner, each in list(self._coordinators.items()):
            if each.is_idle(now):
                del self._coordinators[runner]
        for runner in list(self._ranked):
            if self._table.find(runner) is None:
                del self._ranked[runner]

    # Messages of other instances.

    def receive(
        self, message: limit_messages.LimitMessage, host: str, now: float
    ) -> PermitResult | None:
        """Processes a message; returns the outcome of a permit it decides."""
        self._check_stall(now)
        match message:
            case limit_messages.LimitUpdates():
                self._on_updates(message, host, now)
            case limit_messages.PermitRequest():
                self._on_request(message, host, now)
            case limit_messages.PermitReply():
                return self._on_reply(message, host, now)
            case limit_messages.CoordinatorCall():
                self._find_coordinator(message.runner, now).record_contact(
                    host, now
                )
                reply = limit_messages.CoordinatorReply(
                    self._data_centre, message.runner, self._leaving
                )
                self._members.send_limits(host, reply)
            case limit_messages.CoordinatorReply():
                self._find_coordinator(message.runner, now).record_contact(
                    host, now, message.leaving
                )
        return None

    def tick(self, now: float) -> None:
        """Sends what is due; called every 0.05 s."""
        self._check_stall(now)
        self._ticked_at = now
        if self._started_at is None:
            self._started_at = now
        self._send_changes(now)
        for runner in list(self._coordinators):
            self._call_others(runner, now)
        page = self._updates.take_page(now)
        if page is not None:
            self._send(self._members.pick_pair(), page)
        if self._updates.is_request_due(now):
            self._request_all(now)

    def _request_all(self, now: float) -> None:
        """Requests all limits from some others, once any is known."""
        hosts = self._members.pick_fanout()
        request = self._updates.take_request(now) if hosts else None
        if request is not None:
            self._send(hosts, request)

    def _on_updates(
        self, message: limit_messages.LimitUpdates, host: str, now: float
    ) -> None:
        if message.wants_all:
            self._send_all(host, now)
            return
        others = len(self._members.list_hosts()) - 1
        self._updates.on_answer(host, message.informed, others)
        for each in message.limits:
            self._update(each.runner, table.from_message(each, now), now)

    def _send_all(self, host: str, now: float) -> None:
        """Sends a host all known limits, and whether others sent theirs."""
        informed = self.find_informed_at(now) <= now
        for page in self._updates.list_pages(now, informed):
            self._members.send_limits(host, page)

    def _on_request(
        self, message: limit_messages.PermitRequest, host: str, now: float
    ) -> None:
        runner = message.limit.runner
        self._update(runner, table.from_message(message.limit, now), now)
        decision = self._decide(
            runner, message.runner_data_centre, ids.Tier(message.tier), now
        )
        reply = limit_messages.PermitReply(
            self._data_centre,
            message.number,
            decision.granted,
            round(decision.wait_s * 1000),
            decision.coordinator,
            self._table.export(runner, now),
        )
        self._members.send_limits(host, reply)

    def _on_reply(
        self, message: limit_messages.PermitReply, host: str, now: float
    ) -> PermitResult | None:
        if message.limit is not None:
            limit = table.from_message(message.limit, now)
            self._update(message.limit.runner, limit, now)
        pending = self._pending.pop(message.number, None)
        if pending is None or pending.host != host:
            return None
        self._record_successor(pending, message.coordinator, now)
        wait_s = message.wait_ms / 1000.0
        decision = coordinator.Decision(
            message.granted, wait_s, message.coordinator
        )
        granted = self._apply(pending.runner, pending.tier, decision, now)
        return PermitResult(pending.number, granted)

    def _record_successor(
        self, pending: PendingPermit, successor: str, now: float
    ) -> None:
        """Skips a candidate that names one ranked after it as coordinator."""
        rank = coordinator.rank
        if not successor:
            return
        if rank(pending.runner, pending.host) < rank(pending.runner, successor):
            self._unresponsive_until[pending.host] = now + _UNRESPONSIVE_S

    # Decisions.

    def _update(self, runner: int, limit: table.Limit, now: float) -> None:
        if not self._table.update(runner, limit):
            return
        if self._table.find(runner) is None:
            self._blocks.forget(runner)
        self._updates.on_change(runner)
        self._send_changes(now)

    def _list_candidates(
        self, runner: int, data_centre: str, now: float
    ) -> list[str]:
        """Returns the hosts that may grant a runner's permits.

        While a data centre is unreachable its own instances still do, as long
        as they may be partitioned together with their runners.
        """
        hosts = self._members.list_hosts(data_centre)
        if hosts:
            self._last_hosts[data_centre] = _LastHosts(hosts, now)
        last = self._last_hosts.get(data_centre)
        if last is None or now - last.at > _PARTITION_S:
            hosts = self._members.list_hosts()
        else:
            hosts = last.hosts
        ranked = self._ranked.get(runner)
        if ranked is None or ranked.hosts != hosts:
            found = coordinator.list_candidates(runner, hosts)
            ranked = self._ranked[runner] = _Ranked(hosts, found)
        return ranked.candidates

    def _choose(self, hosts: list[str], now: float) -> str | None:
        """Returns the first candidate that isn't skipped as unresponsive."""
        others = [host for host in hosts if host != self._host]
        for host in others if self._leaving and others else hosts:
            if self._unresponsive_until.get(host, now) <= now:
                return host
        return None

    def _decide(
        self, runner: int, data_centre: str, tier: ids.Tier, now: float
    ) -> coordinator.Decision:
        rate = self._table.find(runner)
        if rate is None:
            return coordinator.Decision(True)
        hosts = self._list_candidates(runner, data_centre, now)
        others = [host for host in hosts if host != self._host]
        if self._leaving and others:
            return coordinator.Decision(False, 0.0, others[0])
        candidate = self._find_coordinator(runner, now)
        decision = candidate.decide(rate, tier, others, now)
        self._call_others(runner, now)
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
            self._unresponsive_until.pop(decision.coordinator, None)
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

    def _call_others(self, runner: int, now: float) -> None:
        if self._leaving:
            return  # A call would claim the right to grant permits.
        call = limit_messages.CoordinatorCall(self._data_centre, runner)
        self._send(self._coordinators[runner].take_calls(now), call)

    def _check_stall(self, now: float) -> None:
        """Gives up the right to grant permits if this process was suspended."""
        last = self._ticked_at
        if last is None or now - last <= _STALL_S:
            return
        self._ticked_at = now
        for each in self._coordinators.values():
            each.suspend()
        if now - last > _ABSENT_S:
            self._updates.request_all(now)

    def _send_changes(self, now: float) -> None:
        changes = self._updates.take_changes(now)
        if changes is not None:
            self._send(self._members.pick_fanout(), changes)

    def _send(
        self, hosts: list[str], message: limit_messages.LimitMessage
    ) -> None:
        for host in hosts:
            self._members.send_limits(host, message)
