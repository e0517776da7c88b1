"""The platform's services of one instance: adapters with their guards."""

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
    """Returns the services at an address; nothing is sent yet.

    Args:
        address: `host:port`.
        now: The clock.
        rng: Spreads the retries.
        count: Called with each `policy.CallEvent`.
    """
    channel = client.Channel(address)
    tools = policy.Tools(now=now, rng=rng, wait=time.sleep, count=count)
    return policy.Platform(
        table=client.HttpTable(channel),
        objects=client.HttpObjects(channel),
        instances=client.HttpInstances(channel),
        weights=client.HttpWeights(channel),
        tools=tools,
    )
