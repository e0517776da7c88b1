"""Grants the permits of one rate-limited runner, for all instances.

A runner's coordinator is the first of a few candidates in its data centre, in
an order that all instances derive by hashing. A candidate calls the others
before it grants permits. Those that don't answer may be partitioned and grant
permits too, so meanwhile it grants only its share of the rate.
"""

import math

import msgspec
import xxhash

from pollenfork import ids
from pollenfork.ratelimits import bucket
from pollenfork.ratelimits import tiers

# Instances of a data centre that may grant a runner's permits.
CANDIDATES = 3
# Capacity of the token bucket, and an addition for each request a second.
_BURST = 1.75
_BURST_S = 0.25
# Interval between calls to the other candidates while permits are requested,
# and the time that they have to answer, in seconds.
_CALL_S = 0.25
_SILENT_S = 0.35
# An answer is valid for this long, in seconds.
_ANSWER_VALID_S = 0.6
# After this long without a request, in seconds, the right to grant permits
# lapses; at low rates, after the time of this many permits.
_DORMANT_S = 1.0
_DORMANT_PERMITS = 2.0
_SHORTEST_WAIT_S = 0.02


class Decision(msgspec.Struct, frozen=True):
    """A candidate's answer to a permit request.

    Attributes:
        granted: Whether one request may be sent now.
        wait_s: Seconds until the permit may be requested again.
        coordinator: The host to ask instead; empty: this one.
    """

    granted: bool
    wait_s: float = 0.0
    coordinator: str = ""


class _Candidate(msgspec.Struct):
    """Another candidate, and whether it answers.

    Attributes:
        called_at: Monotonic seconds of the last call to it.
        waiting_since: Monotonic seconds of the first call not yet answered.
        received_at: Monotonic seconds of its last message.
        leaving: Whether that message said that it is stopping.
    """

    called_at: float = -math.inf
    waiting_since: float | None = None
    received_at: float = -math.inf
    leaving: bool = False

    def answers(self, now: float) -> bool:
        """Returns whether its last message is still valid."""
        return now - self.received_at <= _ANSWER_VALID_S

    def is_silent(self, now: float) -> bool:
        """Returns whether it failed to answer in time."""
        since = self.waiting_since
        if self.leaving or since is None:
            return False
        return now - since >= _SILENT_S


def rank(runner: int, host: str) -> int:
    """Returns a host's rank for a runner; the lowest comes first."""
    return xxhash.xxh32_intdigest(f"{runner} {host}".encode())


def list_candidates(runner: int, hosts: list[str]) -> list[str]:
    """Returns the hosts that may grant a runner's permits, by rank."""
    ranked = sorted(hosts, key=lambda host: (rank(runner, host), host))
    return ranked[:CANDIDATES]


class Coordinator:
    """One instance's role as a candidate for one runner."""

    def __init__(self, runner: int, host: str, now: float) -> None:
        """Starts without the right to grant.

        Args:
            runner: A hash of the runner's incarnation.
            host: This instance's host.
            now: Monotonic seconds.
        """
        self._runner = runner
        self._host = host
        self._bucket = bucket.TokenBucket(now)
        self._tiers = tiers.TierReservation()
        self._others: dict[str, _Candidate] = {}
        self._granting = False
        self._requested_at = -math.inf
        self._dormant_s = _DORMANT_S

    def decide(
        self, rate: float, tier: ids.Tier, others: list[str], now: float
    ) -> Decision:
        """Returns whether a request may be sent to the runner now.

        Args:
            rate: The rate that the runner set.
            tier: The request's urgency.
            others: The other candidates.
            now: Monotonic seconds.
        """
        if self._is_dormant(now):
            self.suspend()
        self._requested_at = now
        self._dormant_s = max(_DORMANT_S, _DORMANT_PERMITS / rate)
        self._tiers.record_request(tier, now)
        known = self._others
        answering = [host for host in known if known[host].answers(now)]
        self._others = {
            host: known.get(host, _Candidate())
            for host in [*others, *answering]
        }
        leader = self._find_leader(now)
        if leader is not None:
            self._granting = False
            return Decision(False, _SHORTEST_WAIT_S, leader)
        if not self._granting and not self._may_begin(now):
            return Decision(False, _SHORTEST_WAIT_S)
        if not self._granting:
            self._granting = True
            self._bucket = bucket.TokenBucket(now)
        return self._take(rate, tier, now)

    def list_others(self) -> list[str]:
        """Returns the other candidates, as of the last request."""
        return list(self._others)

    def take_calls(self, now: float) -> list[str]:
        """Returns the candidates due for a call, and marks them as called."""
        if self._is_dormant(now):
            return []
        due = [
            host
            for host, other in self._others.items()
            if now - other.called_at >= _CALL_S
        ]
        for host in due:
            other = self._others[host]
            other.called_at = now
            if other.waiting_since is None:
                other.waiting_since = now
        return due

    def record_contact(
        self, host: str, now: float, leaving: bool = False
    ) -> None:
        """Notes a call or a reply of another candidate.

        Args:
            host: Its host.
            now: Monotonic seconds.
            leaving: Whether it is stopping and grants no more permits.
        """
        other = self._others.setdefault(host, _Candidate())
        other.received_at = now
        other.waiting_since = None
        other.leaving = leaving
        if self._outranks(host) and not leaving:
            self._granting = False

    def suspend(self) -> None:
        """Gives up the right to grant until the others are called again."""
        self._granting = False
        for other in self._others.values():
            other.received_at = -math.inf
            other.waiting_since = None
            other.called_at = -math.inf
            other.leaving = False

    def is_idle(self, now: float) -> bool:
        """Returns whether no permit was requested for long."""
        return now - self._requested_at > 2 * self._dormant_s

    def _is_dormant(self, now: float) -> bool:
        return now - self._requested_at > self._dormant_s

    def _outranks(self, host: str) -> bool:
        mine = rank(self._runner, self._host), self._host
        return (rank(self._runner, host), host) < mine

    def _find_leader(self, now: float) -> str | None:
        """Returns the first candidate before this one that answers."""
        earlier = [
            host
            for host, other in self._others.items()
            if self._outranks(host) and other.answers(now) and not other.leaving
        ]
        return min(
            earlier, key=lambda host: rank(self._runner, host), default=None
        )

    def _may_begin(self, now: float) -> bool:
        """Returns whether every other candidate has yielded or is silent."""
        return all(
            other.answers(now) or other.leaving or other.is_silent(now)
            for other in self._others.values()
        )

    def _find_share(self, now: float) -> float:
        """Returns the part of the rate that silent candidates can't grant."""
        silent = sum(
            other.is_silent(now) and not other.answers(now)
            for other in self._others.values()
        )
        return 1.0 - silent / (1 + len(self._others))

    def _take(self, rate: float, tier: ids.Tier, now: float) -> Decision:
        share = self._find_share(now)
        burst = max(1.0, share * (_BURST + _BURST_S * rate))
        rate *= share
        if not self._tiers.admits(tier, rate, now):
            return Decision(False, 1.0 / rate)
        if not self._bucket.take(rate, burst, now):
            wait_s = self._bucket.find_wait(rate)
            return Decision(False, max(_SHORTEST_WAIT_S, wait_s))
        self._tiers.record_grant(tier, now)
        return Decision(True)
