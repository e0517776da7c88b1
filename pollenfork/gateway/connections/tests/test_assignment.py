"""Subsets of runners: balance, overlap and stability."""

import random

import pytest

from pollenfork.gateway.connections import assignment
from pollenfork.gateway.connections.tests import support

MAX_RATIO = 1.15
SITES = [
    (instances, runners)
    for instances in (6, 81, 360)
    for runners in (3, 70, 600)
]


def list_components(subsets: list[frozenset[int]]) -> list[set[int]]:
    """Returns the runners in groups that share no instance."""
    groups: list[set[int]] = []
    for subset in subsets:
        joined = set(subset)
        for group in [each for each in groups if each & subset]:
            groups.remove(group)
            joined |= group
        groups.append(joined)
    return groups


# Guards against runners that many more instances prefer than others. Plain
# rendezvous hashing has up to 1.6 times the mean.
@pytest.mark.parametrize(("instances", "runners"), SITES)
def test_subsets_are_balanced_and_overlap(instances: int, runners: int) -> None:
    hashes = support.list_hashes(runners)
    subsets = support.assign_all(support.list_hosts(instances), hashes)
    assert support.measure_ratio(subsets, runners) <= MAX_RATIO
    size = assignment.find_size(instances, runners)
    assert {len(each) for each in subsets.values()} == {size}
    # A group of instances that shares no runner with others would be alone
    # with its load.
    assert list_components(list(subsets.values())) == [set(hashes)]


# Guards against instances that find too few runners with a free place, so that
# the limit is exceeded, and against sizes for which no assignment is balanced:
# 6 instances with 41 of 49 runners each have 5.02 per runner, so 6 at one.
def test_subsets_are_balanced_for_any_size() -> None:
    rng = random.Random(1)
    for _ in range(150):
        instances = rng.randrange(6, 60)
        runners = rng.randrange(3, 90)
        hashes = [rng.getrandbits(32) for _ in range(runners)]
        hosts = [f"h{rng.getrandbits(40)}" for _ in range(instances)]
        subsets = support.assign_all(hosts, hashes)
        assert support.measure_ratio(subsets, runners) <= MAX_RATIO
        size = assignment.find_size(instances, runners)
        assert {len(each) for each in subsets.values()} == {size}


# Guards against an assignment that moves most runners between instances, which
# then all open new connections.
def test_one_instance_less_changes_few_other_subsets() -> None:
    hosts, hashes = support.list_hosts(81), support.list_hashes(70)
    before = support.assign_all(hosts, hashes)
    total = sum(len(each) for each in before.values())
    for gone in hosts[::16]:
        after = support.assign_all([h for h in hosts if h != gone], hashes)
        moved = [len(before[host] - after[host]) for host in after]
        assert sum(moved) <= 0.01 * total
        assert sum(1 for each in moved if each) <= 0.25 * len(after)


# Guards against the same when a runner restarts, which gives it another hash.
def test_a_restarted_runner_changes_few_subsets_otherwise() -> None:
    hosts, hashes = support.list_hosts(81), support.list_hashes(70)
    before = support.assign_all(hosts, hashes)
    total = sum(len(each) for each in before.values())
    for index in range(0, 70, 16):
        restarted = [*hashes[:index], hashes[index] ^ 77, *hashes[index + 1 :]]
        after = support.assign_all(hosts, restarted)
        moved = sum(
            len(before[host] - after[host] - {hashes[index]}) for host in hosts
        )
        assert moved <= 0.03 * total


# Guards against rankings that drift from those of an instance that has just
# started, so that instances disagree about the assignment.
def test_an_updated_ranking_equals_a_new_one() -> None:
    hashes = support.list_hashes(70)
    updated = assignment.Ranking("10.0.0.1", hashes[:50])
    for runner in hashes[50:]:
        updated.add(runner)
    for runner in hashes[:20]:
        updated.remove(runner)
    assert list(updated) == list(assignment.Ranking("10.0.0.1", hashes[20:]))


def test_few_instances_or_runners_have_all_runners_or_at_least_four() -> None:
    assert assignment.find_size(1, 70) == 70
    assert assignment.find_size(6, 3) == 3
    assert assignment.find_size(360, 30) == 4
    assert assignment.find_size(81, 70) == 16
