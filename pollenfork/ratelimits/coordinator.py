"""Grants the permits of one limited runner, for all instances.

A runner's coordinator is the first of a few candidates of its data centre, in
an order that all instances derive by hashing. Before a candidate grants, it
calls the others; while some of them stay silent they may be cut off and grant
on their own, so it grants only its share of the rate.
"""

import math

import msgspec
import xxhash

from pollenfork import ids
from pollenfork.ratelimits import bucket
from pollenfork.ratelimits import tiers

# Instances of a data centre that may grant a runner's permits.
CANDIDATES = 3
# Tokens kept for a burst, and more for each request a second.
_BURST = 1.75
_BURST_S = 0.25
# How often other candidates are called while permits are asked for, in
# seconds, and how long they have to answer.
_CALL_S = 0.25
_SILENT_S = 0.35
# An answer counts for this long, in seconds.
_HEARD_S = 0.6
# Without requests for this long, in seconds, the right to grant lapses; where
# permits come more seldom, for the time of this many.
_DORMANT_S = 1.0
_DORMANT_PERMITS = 2.0
_SHORTEST_WAIT_S = 0.02


class Decision(msgspec.Struct, frozen=True):
    """What a candidate says to a permit request.

    Attributes:
        granted: Whether one request may be sent now.
        wait_s: Seconds until another request for a permit may help.
        coordinator: The host to ask instead; empty: this one.
    """

    granted: bool
    wait_s: float = 0.0
    coordinator: str = ""


class _Rival(msgspec.Struct):
    """Another candidate, and whether it answers.

    Attributes:
        called_at: Monotonic seconds of the last call.
        waiting_since: The same of the first one that it hasn't answered.
        heard_at: The same of its last sign.
        leaves: Whether that said that it stops.
    """

    called_at: float = -math.inf
    waiting_since: float | None = None
    heard_at: float = -math.inf
    leaves: bool = False

    def answers(self, now: float) -> bool:
        """Returns whether it has given a sign of late."""
        return now - self.heard_at <= _HEARD_S

    def is_silent(self, now: float) -> bool:
        """Returns whether it has had its time to answer."""
        since = self.waiting_since
        if self.leaves or since is None:
            return False
        return now - since >= _SILENT_S


def rank(runner: int, host: str) -> int:
    """Returns a host's place in the order for a runner; the least is first."""
    return xxhash.xxh32_intdigest(f"{runner} {host}".encode())


def list_candidates(runner: int, hosts: list[str]) -> list[str]:
    """Returns the hosts that may grant a runner's permits, the first first."""
    ranked = sorted(hosts, key=lambda host: (rank(runner, host), host))
    return ranked[:CANDIDATES]


class Coordinator:
    """One instance as a candidate for one runner."""

    def __init__(self, runner: int, host: str, now: float) -> None:
        """Starts without the right to grant.

        Args:
            runner: A hash of the runner's start.
            host: This instance's.
            now: Monotonic seconds.
        """
        self._runner = runner
        self._host = host
        self._bucket = bucket.TokenBucket(now)
        self._tiers = tiers.TierQueue()
        self._rivals: dict[str, _Rival] = {}
        self._granting = False
        self._asked_at = -math.inf
        self._dormant_s = _DORMANT_S

    def decide(
        self, rate: float, tier: ids.Tier, rivals: list[str], now: float
    ) -> Decision:
        """Returns whether a request may be sent to the runner now.

        Args:
            rate: What the runner names.
            tier: The request's urgency.
            rivals: The other candidates.
            now: Monotonic seconds.
        """
        if self._is_dormant(now):
            self.suspend()
        self._asked_at = now
        self._dormant_s = max(_DORMANT_S, _DORMANT_PERMITS / rate)
        self._tiers.record_request(tier, now)
        known = self._rivals
        heard = [host for host in known if known[host].answers(now)]
        self._rivals = {
            host: known.get(host, _Rival()) for host in [*rivals, *heard]
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

    def list_rivals(self) -> list[str]:
        """Returns the other candidates, as of the last request."""
        return list(self._rivals)

    def list_calls(self, now: float) -> list[str]:
        """Returns the candidates to call now."""
        if self._is_dormant(now):
            return []
        due = [
            host
            for host, rival in self._rivals.items()
            if now - rival.called_at >= _CALL_S
        ]
        for host in due:
            rival = self._rivals[host]
            rival.called_at = now
            if rival.waiting_since is None:
                rival.waiting_since = now
        return due

    def on_sign(self, host: str, now: float, leaves: bool = False) -> None:
        """Takes a call or a reply of another candidate.

        Args:
            host: The other's.
            now: Monotonic seconds.
            leaves: Whether it stops and grants nothing any more.
        """
        rival = self._rivals.setdefault(host, _Rival())
        rival.heard_at = now
        rival.waiting_since = None
        rival.leaves = leaves
        if self._outranks(host) and not leaves:
            self._granting = False

    def suspend(self) -> None:
        """Gives up the right to grant until the others are called again."""
        self._granting = False
        for rival in self._rivals.values():
            rival.heard_at = -math.inf
            rival.waiting_since = None
            rival.called_at = -math.inf
            rival.leaves = False

    def is_idle(self, now: float) -> bool:
        """Returns whether nobody has asked for long."""
        return now - self._asked_at > 2 * self._dormant_s

    def _is_dormant(self, now: float) -> bool:
        return now - self._asked_at > self._dormant_s

    def _outranks(self, host: str) -> bool:
        mine = rank(self._runner, self._host), self._host
        return (rank(self._runner, host), host) < mine

    def _find_leader(self, now: float) -> str | None:
        """Returns the first candidate before this one that answers."""
        before = [
            host
            for host, rival in self._rivals.items()
            if self._outranks(host) and rival.answers(now) and not rival.leaves
        ]
        return min(
            before, key=lambda host: rank(self._runner, host), default=None
        )

    def _may_begin(self, now: float) -> bool:
        """Returns whether each other candidate has yielded or is silent."""
        return all(
            rival.answers(now) or rival.leaves or rival.is_silent(now)
            for rival in self._rivals.values()
        )

    def _find_share(self, now: float) -> float:
        """Returns the part of the rate that no silent candidate may grant."""
        silent = sum(
            rival.is_silent(now) and not rival.answers(now)
            for rival in self._rivals.values()
        )
        return 1.0 - silent / (1 + len(self._rivals))

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
