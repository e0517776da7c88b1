"""Builds the platform clients of an instance, with their call policies."""

from collections.abc import Callable
import enum
import random
import time

from pollenfork import clock
from pollenfork.store import client
from pollenfork.store import policy


def connect(
    address: str,
    now: clock.Clock,
    rng: random.Random,
    count: Callable[[enum.Enum], None],
) -> policy.Platform:
    """Returns the platform's services at `address`; sends nothing.

    Args:
        address: `host:port`.
        now: The clock.
        rng: For the jitter between retries.
        count: Called with each `policy.CallEvent`.
    """
    channel = client.Channel(address)
    deps = policy.Dependencies(now=now, rng=rng, wait=time.sleep, count=count)
    return policy.Platform(
        table=client.HttpTable(channel),
        objects=client.HttpObjects(channel),
        instances=client.HttpInstances(channel),
        weights=client.HttpWeights(channel),
        deps=deps,
    )
