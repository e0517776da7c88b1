import logging
import re

import pytest
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.catalogue import messages as catalogue
from pollenfork.fleet import errors
from pollenfork.fleet.tests import test_registry
from pollenfork.gateway import cluster_state
from pollenfork.gateway import readiness
from pollenfork.loads import messages
from pollenfork.routes import model as routes


class Store:
    """Decodes rows that hold a configuration's version or a runner's name."""

    def decode_configuration(self, row):
        if row.value == b"bad":
            return result.Err(failures.Failure(detail="bad"))
        return result.Ok(
            routes.Configuration(
                version=int(row.value),
                routes=(),
                services={},
                limits=routes.CallerLimits(),
                accounts={},
            )
        )

    def decode_runner(self, row):
        if row.value == b"bad":
            fault = errors.EntryFault.NOT_DECODABLE
            return result.Err(errors.BadEntry(detail="bad", fault=fault))
        return result.Ok(test_registry.make_runner(row.key))


def make_state() -> cluster_state.ClusterState:
    return cluster_state.ClusterState(Store(), revocation_s=5.0)


def configure(state, version: int, row: int, through: int | None = None):
    rows = (catalogue.Row("c", b"%d" % version, row),)
    state.take_configuration(catalogue.Changes(rows, through or row))


def list_runners(state) -> list[str]:
    service = ids.ServiceName("s")
    return [each.id for each in state.runners.list_accepting(service)]


def test_it_is_ready_once_both_tables_are_read_and_proven(caplog) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.readiness")
    state = make_state()
    stopping = []
    checker = readiness.Readiness(state, lambda: bool(stopping))
    assert not checker.check(99.0)
    configure(state, 3, 10)
    state.record_current(100.0)
    assert not checker.check(100.0)
    state.take_runners(catalogue.Changes((), 10), 100.0)
    assert checker.check(100.0)
    assert not checker.check(104.0)
    state.record_current(105.0)
    assert checker.check(105.0)
    stopping.append(True)
    assert not checker.check(105.0)
    transitions = re.findall(r"state=(\w+) before=(\w+)", caplog.text)
    assert transitions == [
        ("no_runners", "no_settings"),
        ("ready", "no_runners"),
        ("settings_stale", "ready"),
        ("ready", "settings_stale"),
        ("stopping", "ready"),
    ]
    assert "state=settings_stale before=ready configuration=3 age_ms=4000" in (
        caplog.text
    )


def test_a_configuration_never_goes_back() -> None:
    state = make_state()
    configure(state, 5, 10)
    configure(state, 4, 11)
    assert state.lookup.configuration.version == 5


def test_a_configuration_that_cannot_be_read_changes_nothing() -> None:
    state = make_state()
    configure(state, 5, 10)
    rows = (catalogue.Row("c", b"bad", 11),)
    state.take_configuration(catalogue.Changes(rows, 11))
    assert state.lookup.configuration.version == 5


def test_an_unreadable_entry_drops_only_its_own_runner(caplog) -> None:
    state = make_state()
    good = tuple(catalogue.Row(key, b"", 12) for key in "qrs")
    state.take_runners(catalogue.Changes(good, 12), 0.0)
    # This holds also while removed entries are kept for a grace period.
    state.runners.keep_removed_until(5.0)
    bad = (catalogue.Row("r", b"bad", 13), catalogue.Row("new\n", b"bad", 14))
    fresh = catalogue.Row("t", b"", 15)
    state.take_runners(catalogue.Changes((*bad, fresh), 15), 1.0)
    assert list_runners(state) == ["q", "s", "t"]
    assert state.refused_entries == {errors.EntryFault.NOT_DECODABLE: 2}
    assert "event=runner_unreadable runner=r row=13 reason=not_decodable" in (
        caplog.text
    )
    assert 'runner="new\\n" row=14' in caplog.text


def test_a_runner_returns_once_its_entry_is_readable_again() -> None:
    state = make_state()
    for version, value in enumerate((b"", b"bad", b""), start=12):
        rows = (catalogue.Row("r", value, version),)
        state.take_runners(catalogue.Changes(rows, version), 0.0)
    assert list_runners(state) == ["r"]


def test_a_relays_proof_counts_only_for_versions_known_here() -> None:
    state = make_state()
    configure(state, 5, 10)
    state.record_store_status(messages.StoreStatus(11, 0, 0.2), 100.0, "a")
    assert not state.freshness.trusts_keys(100.0)
    assert (
        state.configuration_versions.is_newer_elsewhere
        and not state.runners_versions.is_newer_elsewhere
    )
    configure(state, 6, 11)
    state.record_store_status(messages.StoreStatus(11, 0, 0.2), 100.0, "a")
    assert state.freshness.trusts_keys(103.0)
    assert not state.configuration_versions.is_newer_elsewhere
    assert state.follows_relay(101.4)
    assert not state.follows_relay(101.6)


def test_a_proof_of_an_older_version_still_counts() -> None:
    state = make_state()
    configure(state, 6, 11)
    state.record_store_status(messages.StoreStatus(10, 0, 0.2), 100.0, "a")
    assert state.freshness.trusts_keys(103.0)


def test_a_change_that_does_not_arrive_from_peers_is_detected() -> None:
    state = make_state()
    configure(state, 5, 10)
    state.record_store_status(messages.StoreStatus(10, 30, 0.0), 100.0, "a")
    assert not state.configuration_versions.is_behind(100.0)
    assert not state.runners_versions.is_behind(100.0)
    assert state.runners_versions.is_behind(100.6)
    # Reported once, and again only after a further interval.
    assert not state.runners_versions.is_behind(100.7)
    state.take_runners(catalogue.Changes((), 30), 100.8)
    assert not state.runners_versions.is_behind(102.0)


def test_older_announcements_do_not_replace_a_newer_version() -> None:
    state = make_state()
    configure(state, 5, 10)
    now = 100.0
    while now < 100.4:
        state.record_store_status(messages.StoreStatus(10, 30, 0.0), now, "a")
        state.record_store_status(messages.StoreStatus(10, 20, 0.0), now, "b")
        overdue = state.runners_versions.is_store_late(now)
        now += 0.05
    assert overdue and state.runners_versions.sender == "a"
    state.take_runners(catalogue.Changes((), 30), now)
    state.record_store_status(messages.StoreStatus(10, 20, 0.0), now, "b")
    assert not state.runners_versions.is_newer_elsewhere


def test_versions_alone_prove_nothing_about_age() -> None:
    state = make_state()
    configure(state, 5, 10)
    state.record_store_versions(messages.StoreStatus(12, 30, 0.0), "c")
    assert state.configuration_versions.is_newer_elsewhere
    assert state.configuration_versions.sender == "c"
    assert not state.follows_relay(100.0)
    assert state.freshness.age(100.0) is None


def test_a_runner_found_missing_counts_as_a_change_for_peers() -> None:
    state = make_state()
    configure(state, 5, 10)
    state.record_current(100.0)
    left = catalogue.Row("q", b"", 20, removed=True)
    state.take_runners(catalogue.Changes((left,), 25), 100.0)
    assert state.make_store_status(100.0).runners == 20
    gone = catalogue.Row("r", b"", 4, removed=True, missing=True)
    state.take_runners(catalogue.Changes((gone,), 30), 100.0)
    # Peers knew all changes up to 25, but not this removal.
    assert state.make_store_status(100.0).runners == 30


def test_forwarded_proof_never_gets_younger() -> None:
    first, second = make_state(), make_state()
    for state in (first, second):
        configure(state, 5, 10)
    assert second.make_store_status(100.0) is None
    first.record_current(99.0)
    assert first.make_store_status(100.5) == messages.StoreStatus(
        10, 0, 1.5, in_force=5
    )
    # Two instances forward the proof to each other, with 0.1 s between steps.
    now = 100.5
    for _ in range(20):
        for sender, receiver in ((first, second), (second, first)):
            status = sender.make_store_status(now + 0.1)
            receiver.record_store_status(status, now - status.age_s, "a")
            now += 0.1
    assert first.freshness.age(now) == pytest.approx(now - 99.0)
    assert second.freshness.age(now) > now - 99.0
    assert not first.freshness.trusts_keys(now)


# Guards against a proof by the store's rows alone: its newest row may hold an
# older configuration than a peer has in force.
def test_nothing_proves_a_configuration_that_is_superseded_elsewhere() -> None:
    state = make_state()
    configure(state, 4, 16)
    newer = messages.StoreStatus(15, 0, 0.2, in_force=5)
    state.record_store_status(newer, 100.0, "a")
    state.record_current(100.0)
    state.record_store_status(messages.StoreStatus(16, 0, 0.2), 100.0, "b")
    assert state.freshness.age(100.0) is None
    assert state.configuration_versions.is_newer_elsewhere
    assert state.configuration_versions.sender == "a"
    configure(state, 5, 15, through=16)
    state.record_current(101.0)
    assert state.freshness.trusts_keys(101.0)
    assert not state.configuration_versions.is_newer_elsewhere
    assert state.make_store_status(101.0).in_force == 5


def test_a_peer_with_an_older_configuration_takes_no_proof_away() -> None:
    state = make_state()
    configure(state, 5, 15)
    older = messages.StoreStatus(15, 0, 0.2, in_force=4)
    state.record_store_status(older, 100.0, "a")
    assert state.freshness.trusts_keys(100.0)


def test_own_proof_is_needed_once_peers_proof_is_old() -> None:
    state = make_state()
    configure(state, 5, 10)
    assert not state.is_proven_by_others(100.0)
    state.record_store_status(messages.StoreStatus(10, 0, 0.0), 100.0, "a")
    assert state.is_proven_by_others(100.9)
    assert not state.is_proven_by_others(101.1)


def test_a_removed_entry_is_logged_with_its_grace_period(
    caplog,
) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.cluster_state")
    state = make_state()
    rows = (catalogue.Row("r", b"", 12),)
    state.take_runners(catalogue.Changes(rows, 12), 98.0)
    state.runners.keep_removed_until(102.0)
    rows = (catalogue.Row("r", b"", 13, removed=True),)
    state.take_runners(catalogue.Changes(rows, 13), 100.5)
    assert "event=runner_kept runner=r row=13 for_ms=1500" in caplog.text
    assert "runner_gone" not in caplog.text
    state.expire_runners(102.1)
    assert "event=runner_gone runner=r row=- kept=True" in caplog.text
    assert list_runners(state) == []


def add_runner(state, now: float) -> None:
    rows = (catalogue.Row("r", b"", 12),)
    state.take_runners(catalogue.Changes(rows, 12), now)
    state.record_store_answer(now)


def remove_runner(state, now: float) -> None:
    rows = (catalogue.Row("r", b"", 13, removed=True),)
    state.take_runners(catalogue.Changes(rows, 13), now)


def test_entries_removed_in_an_outage_are_kept_until_well_after_it() -> None:
    state = make_state()
    add_runner(state, 100.0)
    state.record_store_failure(104.6)
    # The store answered another instance first.
    state.record_store_status(messages.StoreStatus(10, 13, 0.2), 105.0, "a")
    remove_runner(state, 105.2)
    state.expire_runners(106.9)
    assert list_runners(state) == ["r"]
    state.expire_runners(107.0)
    assert list_runners(state) == []


def test_no_entry_is_kept_while_the_store_answers_others() -> None:
    state = make_state()
    add_runner(state, 100.0)
    for step in range(1, 20):
        moment = 100.0 + step * 0.5
        state.record_store_failure(moment)
        state.record_store_status(
            messages.StoreStatus(10, 12, 0.5), moment - 0.5, "a"
        )
    state.record_store_answer(110.0)
    remove_runner(state, 110.0)
    assert list_runners(state) == []


def test_an_overdue_change_stays_overdue_until_it_arrives() -> None:
    state = make_state()
    configure(state, 5, 10)
    state.record_store_status(messages.StoreStatus(10, 30, 0.0), 100.0, "a")
    overdue = []
    for step in range(30):
        now = 100.0 + step * 0.05
        state.runners_versions.is_behind(now)
        overdue.append(state.runners_versions.is_store_late(now))
    assert overdue == sorted(overdue) and sum(overdue) > 20
