"""Checks the worst-case time of each path by which a change spreads.

The times are added up from the code's constants. `docs/design/news.md` shows
the same sums, so changing a constant without its documented bound fails here.
"""

import pathlib

import pytest

from pollenfork.catalogue import outages
from pollenfork.gateway import following
from pollenfork.gateway import sources
from pollenfork.gateway import version_tracker
from pollenfork.loads import core
from pollenfork.loads import links

# The strictest deployment's limit, in seconds, from the store's acknowledgement
# that a runner leaves to the last request sent to that runner.
_BOUND_S = 2.0
# An answer of the store, a datagram and fetching a table from a nearby instance
# take some milliseconds each; on a busy machine this many seconds.
_CALL_S = 0.02
_POLL_INTERVAL_S = sources._RUNNERS_REST_S
_LACKING_S = version_tracker.VersionTracker.LACKING_S
# Sent in the sender's next period, and handled in the receiver's next one.
_ANNOUNCE_S = 2 * core.PERIOD_S + _CALL_S
_FROM_STORE_S = _POLL_INTERVAL_S + _CALL_S
_TO_REPORTER_S = _ANNOUNCE_S + _CALL_S
_TO_REFUSED_S = _ANNOUNCE_S + _LACKING_S + _CALL_S
# Any other instance that has the change announces it in its next period. If
# the relay is late, that instance is asked, in the period that detects it.
_ANNOUNCED_S = (
    _ANNOUNCE_S
    + version_tracker.VersionTracker.RELAY_LATE_S
    + core.PERIOD_S
    + _CALL_S
)
# The timeout of a relay that doesn't answer, and a poll for another source.
_RELAY_ABANDONED_S = following._RELAY_TIMEOUT_S + following._POLL_S

# Packets queue for this long each way on a reporter's link, in seconds. A
# datagram announces the change, and the relay doesn't answer in time, but the
# store does.
_QUEUEING_S = 0.25
_PAST_RELAY_S = (
    _ANNOUNCE_S + _QUEUEING_S + following._RELAY_TIMEOUT_S + 2 * _QUEUEING_S
)

_WORST_CASES_S = {
    "store well, relay": _FROM_STORE_S,
    "store well, reporter": _FROM_STORE_S + _TO_REPORTER_S,
    "one datagram lost": _FROM_STORE_S + _TO_REPORTER_S + links._REPEAT_S,
    "relay turned away, its reporter": (
        _FROM_STORE_S + _TO_REFUSED_S + _TO_REPORTER_S
    ),
    "all turned away but one that reports, elsewhere": (
        _FROM_STORE_S + 2 * _TO_REFUSED_S + _TO_REPORTER_S
    ),
    "relay dies silently before it tells": _FROM_STORE_S + 2 * _ANNOUNCED_S,
    "packets wait 0.25 s each way, leaving": _FROM_STORE_S + _PAST_RELAY_S,
    "packets wait 0.25 s each way, configuration": (
        sources._CONFIGURATION_REST_S + _CALL_S + _PAST_RELAY_S
    ),
    "relay dies silently while it is asked": (
        _FROM_STORE_S + _TO_REPORTER_S + _RELAY_ABANDONED_S + _ANNOUNCED_S
    ),
}
_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "design" / "news.md"


@pytest.mark.parametrize("way", _WORST_CASES_S)
def test_each_path_of_a_change_is_within_the_strictest_bound(way: str) -> None:
    assert _WORST_CASES_S[way] < _BOUND_S


def test_the_usual_paths_are_within_six_tenths_of_the_bound() -> None:
    for way in ("store well, relay", "store well, reporter"):
        assert _WORST_CASES_S[way] <= 0.6 * _BOUND_S


def test_the_documentation_lists_the_sums() -> None:
    page = _PAGE.read_text()
    for way, sum_s in _WORST_CASES_S.items():
        assert f"| {way} | {sum_s:.2f} s | {_BOUND_S - sum_s:.2f} s |" in page


def test_a_retained_entry_expires_before_the_stores_state_is_final() -> None:
    # Final 3 s after the store's return, which may follow the last failed call.
    assert outages._FINAL_S < 3.0
    assert outages.LAPSE_S <= outages._FINAL_S


def test_an_unresponsive_relay_is_abandoned_before_updates_are_late() -> None:
    assert following._RELAY_TIMEOUT_S < version_tracker.VersionTracker.BEHIND_S
