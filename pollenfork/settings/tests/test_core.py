"""Tests single rules of the core; `test_machine` combines them."""

import itertools
import random

from pollenfork.settings import core
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.settings import state


def make_tree(revision: int) -> state.InForce:
    tree = model.Tree(root=model.RootSettings(), revision=revision)
    return state.InForce(revision, {}, snapshot.Snapshot(tree))


def make_core(revision: int = 0) -> core.Core:
    made = core.Core(random.Random(1), 0.0)
    if revision:
        made.handle_read(make_tree(revision), 0.0)
    return made


def test_older_trees_are_ignored_from_every_source() -> None:
    made = make_core(5)
    older = make_tree(4)
    assert made.handle_read(older, 1.0) == []
    assert made.handle_copy("peer", older, 1.0) == []
    assert made.handle_write(older, 1.0) == []
    assert made.revision == 5


def test_newer_trees_are_adopted_from_every_source() -> None:
    made = make_core(5)
    found = [
        made.handle_read(make_tree(6), 1.0),
        made.handle_copy("peer", make_tree(7), 1.0),
        made.handle_write(make_tree(8), 1.0),
    ]
    assert [actions[0].source for actions in found] == list(core.Source)
    assert made.revision == 8


def test_poll_delays_are_jittered() -> None:
    made = make_core(5)
    reads = [
        step / 10
        for step in range(10, 3000)
        if core.ReadTable() in made.tick(step / 10)
    ]
    gaps = [after - before for before, after in itertools.pairwise(reads)]
    assert 3.9 < min(gaps) < 4.5
    assert 5.5 < max(gaps) < 6.2


def test_failed_reads_are_retried_with_exponential_backoff() -> None:
    made = make_core(5)
    reads = []
    for step in range(400):
        now = step / 10
        if core.ReadTable() in made.tick(now):
            reads.append(now)
            made.handle_read_failure(now)
    gaps = [after - before for before, after in itertools.pairwise(reads)]
    for gap, mean in zip(gaps, [1.0, 2.0, 4.0, 5.0, 5.0], strict=False):
        assert abs(gap - mean) <= core.POLL_JITTER * mean + 0.1
    assert len(gaps) >= 5
    made.handle_read(make_tree(5), 40.0)
    made.handle_read_failure(40.0)
    assert core.ReadTable() in made.tick(40.0 + 1.2)


def test_a_peer_with_a_newer_revision_advances_the_read() -> None:
    made = make_core(5)
    made.tick(0.0)
    made.record_peer_revision("peer", 6, 0.5)
    assert core.ReadTable() in made.tick(0.5 + core.READ_SPREAD_S)


def test_many_newer_peers_advance_the_read_no_more_than_one() -> None:
    reads = []
    for peers in (1, 60):
        made = make_core(5)
        made.tick(0.0)
        for number in range(peers):
            made.record_peer_revision(f"peer-{number}", 6, 0.5)
        steps = [0.5 + step / 100 for step in range(250)]
        reads.append(
            next(now for now in steps if core.ReadTable() in made.tick(now))
        )
    assert reads[0] == reads[1] > 0.5


def test_a_peer_with_no_newer_revision_does_not_advance_the_read() -> None:
    made = make_core(5)
    made.tick(0.0)
    made.record_peer_revision("peer", 5, 0.5)
    made.record_peer_revision("other", 4, 0.5)
    assert made.tick(0.5 + core.READ_SPREAD_S) == []


def test_a_newer_peer_is_asked_only_while_the_table_is_unavailable() -> None:
    made = make_core(5)
    made.tick(0.0)
    made.record_peer_revision("peer", 7, 0.1)
    made.record_peer_revision("other", 6, 0.1)
    assert core.FetchCopy("peer") not in made.tick(0.1)
    made.handle_read_failure(0.2)
    assert made.tick(0.2) == [core.FetchCopy("peer")]
    assert made.tick(0.3) == []
    made.handle_copy("peer", None, 0.4)
    assert made.tick(0.4) == [core.FetchCopy("other")]


def test_a_failed_fetch_is_retried_without_a_new_heartbeat() -> None:
    made = make_core(5)
    made.tick(0.0)
    made.record_peer_revision("peer", 7, 0.1)
    made.handle_read_failure(0.2)
    assert core.FetchCopy("peer") in made.tick(0.2)
    made.handle_copy("peer", None, 0.3)
    assert core.FetchCopy("peer") not in made.tick(0.4)
    later = 0.3 + core.PEER_RETRY_DELAY_S
    assert core.FetchCopy("peer") in made.tick(later)


def test_a_peer_whose_copy_is_older_than_announced_is_not_asked_again() -> None:
    made = make_core(5)
    made.tick(0.0)
    made.record_peer_revision("peer", 7, 0.1)
    made.handle_read_failure(0.2)
    made.tick(0.2)
    made.handle_copy("peer", make_tree(6), 0.3)
    assert made.revision == 6
    assert core.FetchCopy("peer") not in made.tick(0.4)


def test_a_peer_is_asked_if_the_table_is_behind_it() -> None:
    made = make_core(5)
    made.record_peer_revision("peer", 7, 0.1)
    assert made.handle_read(make_tree(6), 0.2)[-1] == core.FetchCopy("peer")
    assert made.handle_read(None, 9.0) == [core.FetchCopy("peer")]


def test_a_restart_without_the_table_collects_revisions_before_a_fetch() -> (
    None
):
    made = make_core()
    made.handle_read_failure(0.0)
    made.record_peer_revision("behind", 4, 0.1)
    assert core.FetchCopy("behind") not in made.tick(core.DISCOVERY_S - 0.1)
    made.record_peer_revision("newest", 9, core.DISCOVERY_S - 0.1)
    assert made.in_force is None
    assert core.FetchCopy("newest") in made.tick(core.DISCOVERY_S)
    made.handle_copy("newest", make_tree(9), core.DISCOVERY_S)
    assert made.revision == 9


def test_a_removed_peer_is_not_asked() -> None:
    made = make_core(5)
    made.tick(0.0)
    made.record_peer_revision("peer", 7, 0.1)
    made.handle_read_failure(0.2)
    made.remove_peer("peer")
    assert made.tick(0.2) == []


def test_a_fetch_without_an_answer_is_retried_after_its_timeout() -> None:
    made = make_core(5)
    made.tick(0.0)
    made.record_peer_revision("peer", 7, 0.1)
    made.handle_read_failure(0.2)
    assert core.FetchCopy("peer") in made.tick(0.2)
    later = 0.2 + core.FETCH_TIMEOUT_S
    assert core.FetchCopy("peer") in made.tick(later)


def test_age_counts_from_the_last_confirmation() -> None:
    made = make_core()
    assert made.age_s(1.0) is None
    made.handle_read(make_tree(5), 1.0)
    assert made.age_s(4.0) == 3.0
    made.handle_read_failure(5.0)
    made.handle_read(None, 5.0)
    made.handle_read(make_tree(4), 5.0)
    assert made.age_s(6.0) == 5.0
    made.handle_read(make_tree(5), 7.0)
    made.handle_read(make_tree(5), 2.0)
    assert made.age_s(8.0) == 1.0


def test_an_empty_table_is_not_adopted() -> None:
    made = make_core()
    assert made.handle_read(state.EMPTY, 1.0) == []
    assert made.in_force is None
