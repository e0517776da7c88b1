"""The ways compared: the product's, its variants and the baselines."""

from collections.abc import Callable
import itertools
import math
import random
from typing import Any, Protocol

import msgspec

from pollenfork import decisions
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages
from pollenfork.dispatch import sharing
from pollenfork.settings import messages as settings_messages

WAITING_LIMIT = 256


class Policy(Protocol):
    """What the driver needs of a way to decide; see `DecisionCore`."""

    def submit(
        self, ask: admission_messages.Ask, now: float
    ) -> list[decisions.Decision]:
        """See `DecisionCore`."""

    def ask_again(
        self, again: messages.AskAgain, now: float
    ) -> list[decisions.Decision]:
        """See `DecisionCore`."""

    def report(self, event: Any, now: float) -> list[decisions.Decision]:
        """See `DecisionCore`."""

    def tick(self, now: float) -> list[decisions.Decision]:
        """See `DecisionCore`."""

    def read_pressure(self, now: float) -> messages.Pressure:
        """See `DecisionCore`."""


class Fifo:
    """Baseline: sends at once and leaves the order to the engines.

    Args:
        pick: Chooses among the endpoints that are live, by own in-flight.
    """

    def __init__(
        self, instance: ids.InstanceId, pick: "Callable[[Fifo], str]"
    ) -> None:
        self.turn = itertools.count(hash(instance) % 97)
        self.in_flight: dict[str, int] = {}
        self.live: list[str] = []
        self._instance = instance
        self._pick = pick
        self._attempts: dict[str, str] = {}
        self._sent: dict[str, int] = {}

    def submit(
        self, ask: admission_messages.Ask, now: float
    ) -> list[decisions.Decision]:
        """Takes a request."""
        del now
        return [self._grant(ask.request)]

    def ask_again(
        self, again: messages.AskAgain, now: float
    ) -> list[decisions.Decision]:
        """Takes a wish for a further attempt."""
        del now
        if self._sent.get(again.request, 0) >= 4:
            reason = admission_messages.RefusalReason.RETRY_BUDGET
            return [
                admission_messages.Refused(request=again.request, reason=reason)
            ]
        return [self._grant(again.request)]

    def report(self, event: Any, now: float) -> list[decisions.Decision]:
        """Takes any other event."""
        del now
        match event:
            case messages.AttemptEnded():
                endpoint = self._attempts.pop(event.attempt, None)
                if endpoint is not None:
                    self.in_flight[endpoint] -= 1
            case messages.EndpointNotice():
                is_live = event.state is messages.EndpointState.LIVE
                if is_live and event.endpoint not in self.live:
                    self.live.append(event.endpoint)
                elif not is_live and event.endpoint in self.live:
                    self.live.remove(event.endpoint)
            case settings_messages.TreeInForce():
                self.live = list(event.tree.root.endpoints)
                self.in_flight = dict.fromkeys(self.live, 0)
        return []

    def tick(self, now: float) -> list[decisions.Decision]:
        """Lets time pass."""
        del now
        return []

    def read_pressure(self, now: float) -> messages.Pressure:
        """Returns what peers should know."""
        del now
        return messages.Pressure(self._instance)

    def _grant(self, request: ids.RequestId) -> messages.Grant:
        endpoint = self._pick(self)
        self._sent[request] = self._sent.get(request, 0) + 1
        attempt = f"{request}.{self._sent[request]}"
        self._attempts[attempt] = endpoint
        self.in_flight[endpoint] += 1
        return messages.Grant(
            request=request,
            attempt=ids.AttemptId(attempt),
            endpoint=ids.EndpointId(endpoint),
            address="",
        )


def pick_round_robin(policy: Fifo) -> str:
    """Returns the next endpoint in turn."""
    return policy.live[next(policy.turn) % len(policy.live)]


def pick_least_in_flight(policy: Fifo) -> str:
    """Returns the endpoint with the fewest own attempts, ties in turn."""
    start = next(policy.turn)
    live = policy.live
    turned = [live[(start + n) % len(live)] for n in range(len(live))]
    return min(turned, key=policy.in_flight.__getitem__)


class Alone:
    """No joint action: each instance fills what it sees as free."""

    def max_slots(
        self, usage: sharing.SlotUsage, tier: int, asking: int
    ) -> int:
        """Returns how many slots may be held."""
        del usage, tier, asking
        return 1 << 30

    def headroom(self, usage: sharing.SlotUsage, tier: int) -> float:
        """Leaves nothing."""
        del usage, tier
        return 0.0


class FixedShare:
    """Each instance has the same part of the slots, whatever the demand."""

    def __init__(self, instances: int) -> None:
        self._instances = instances

    def max_slots(
        self, usage: sharing.SlotUsage, tier: int, asking: int
    ) -> int:
        """Returns how many slots may be held."""
        del asking
        part = math.ceil(usage.capacity / self._instances)
        own = usage.own_in_flight
        return part - sum(own) + own[tier]

    def headroom(self, usage: sharing.SlotUsage, tier: int) -> float:
        """Leaves nothing."""
        del usage, tier
        return 0.0


class HeadroomOnly:
    """Peers' occupancy is known, their demand is not split."""

    def __init__(self) -> None:
        self._split = sharing.DemandSplit()

    def max_slots(
        self, usage: sharing.SlotUsage, tier: int, asking: int
    ) -> int:
        """Returns every slot while headroom is left."""
        nobody = [0] * len(usage.peer_waiting)
        alone = msgspec.structs.replace(usage, peer_waiting=nobody)
        return 1 << 30 if self._split.max_slots(alone, tier, asking) else 0

    def headroom(self, usage: sharing.SlotUsage, tier: int) -> float:
        """Leaves the same headroom as the split."""
        return self._split.headroom(usage, tier)


def create(
    name: str, instance: ids.InstanceId, instances: int, rng: random.Random
) -> Policy:
    """Returns one instance's policy by the name the tables use."""
    if name == "fifo-round-robin":
        return Fifo(instance, pick_round_robin)
    if name == "fifo-least-in-flight":
        return Fifo(instance, pick_least_in_flight)
    splits: dict[str, sharing.SlotSharing] = {
        "tiers-alone": Alone(),
        "fixed-share": FixedShare(instances),
        "subset": Alone(),
        "headroom-only": HeadroomOnly(),
        "split-only": sharing.DemandSplit(headroom=0.0),
        "pollenfork": sharing.DemandSplit(),
    }
    return decisions.DecisionCore(instance, rng, WAITING_LIMIT, splits[name])


def hears_peers(name: str) -> bool:
    """Returns whether the policy's instances exchange pressure."""
    return name in ("split-only", "headroom-only", "pollenfork")
