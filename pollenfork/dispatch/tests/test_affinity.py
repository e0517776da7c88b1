"""Prefix affinity of instances that don't know each other's load yet.

Guards against overloading the preferred endpoints of a few prefixes when many
instances send a burst to them before they exchange pressure.
"""

import collections
import random

import pytest

from pollenfork import decisions
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.settings import snapshot

ENDPOINTS = 9
SLOTS = 16
BURST = 140
PREFIXES = 8


def make_instances(count: int) -> list[decisions.DecisionCore]:
    endpoints = {
        f"runner-{n}": model.EndpointSettings(
            address=f"10.0.0.{n}:80",
            data_centre="a",
            models=("lines",),
            slots=SLOTS,
        )
        for n in range(ENDPOINTS)
    }
    tree = model.Tree(root=model.RootSettings(endpoints=endpoints))
    event = settings_messages.TreeInForce(tree, snapshot.Snapshot(tree))
    instances = [
        decisions.DecisionCore(
            ids.InstanceId(f"entry-{n}"), random.Random(n), 256
        )
        for n in range(count)
    ]
    for instance in instances:
        instance.report(event, 0.0)
        for peer in instances:
            if peer is not instance:
                instance.report(peer.read_pressure(0.0), 0.0)
    return instances


def make_ask(number: int, prefix: int) -> admission_messages.Ask:
    return admission_messages.Ask(
        request=f"q{number}",
        team="linework",
        account="dispatch",
        class_name="morning",
        tier=0,
        model="lines",
        arrived=0.0,
        first_token_due=3.0,
        give_up_at=60.0,
        account_limit=BURST,
        prefix=prefix,
    )


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(("count", "most"), [(1, SLOTS), (6, 1.5 * SLOTS)])
def test_burst_of_few_prefixes_does_not_overload_preferred_endpoints(
    count: int, most: float, seed: int
) -> None:
    instances = make_instances(count)
    draw = random.Random(seed)
    held: collections.Counter[str] = collections.Counter()
    for number in range(BURST):
        ask = make_ask(number, draw.randrange(1, PREFIXES + 1))
        for grant in draw.choice(instances).submit(ask, 0.0):
            assert isinstance(grant, messages.Grant)
            held[grant.endpoint] += 1
    assert held.total() == BURST
    assert max(held.values()) <= most
