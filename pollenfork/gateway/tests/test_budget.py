"""The worst case of each way of news, added up from the code's constants.

`docs/design/news.md` shows the same sums; a constant that is changed without
its bound fails here.
"""

import pathlib

import pytest

from pollenfork.catalogue import outages
from pollenfork.gateway import following
from pollenfork.gateway import sources
from pollenfork.gateway import version_tracker
from pollenfork.loads import core
from pollenfork.loads import links

# The strictest deployment allows this from the store's acknowledgement of a
# leaving to the last request sent to the runner, in seconds.
_BOUND_S = 2.0
# The store's answer, a datagram's way and a table fetched from an instance
# nearby take some milliseconds each, on a busy machine this much, in seconds.
_CALL_S = 0.02
_REST_S = sources._RUNNERS_REST_S
_LACKING_S = version_tracker.VersionTracker.LACKING_S
# Told at the next period, and looked at in the next one there.
_TELL_S = 2 * core.PERIOD_S + _CALL_S
_FROM_STORE_S = _REST_S + _CALL_S
_TO_REPORTER_S = _TELL_S + _CALL_S
_TO_TURNED_AWAY_S = _TELL_S + _LACKING_S + _CALL_S
# Any other instance that knows tells it at its next period, and is asked where
# the relay doesn't bring it, in the period in which that shows.
_TOLD_S = (
    _TELL_S
    + version_tracker.VersionTracker.RELAY_LATE_S
    + core.PERIOD_S
    + _CALL_S
)
# A relay that doesn't answer, and the look for whom else to ask.
_GIVEN_UP_S = following._RELAY_TIMEOUT_S + following._LOOK_S

# Packets wait for this long each way on a reporter's link, in seconds. A
# datagram tells of the news, the relay doesn't answer in time, the store does.
_QUEUED_S = 0.25
_BESIDE_S = _TELL_S + _QUEUED_S + following._RELAY_TIMEOUT_S + 2 * _QUEUED_S

_SUMS = {
    "store well, relay": _FROM_STORE_S,
    "store well, reporter": _FROM_STORE_S + _TO_REPORTER_S,
    "one datagram lost": _FROM_STORE_S + _TO_REPORTER_S + links._REPEAT_S,
    "relay turned away, its reporter": (
        _FROM_STORE_S + _TO_TURNED_AWAY_S + _TO_REPORTER_S
    ),
    "all turned away but one that reports, elsewhere": (
        _FROM_STORE_S + 2 * _TO_TURNED_AWAY_S + _TO_REPORTER_S
    ),
    "relay dies silently before it tells": _FROM_STORE_S + 2 * _TOLD_S,
    "packets wait 0.25 s each way, leaving": _FROM_STORE_S + _BESIDE_S,
    "packets wait 0.25 s each way, configuration": (
        sources._CONFIGURATION_REST_S + _CALL_S + _BESIDE_S
    ),
    "relay dies silently while it is asked": (
        _FROM_STORE_S + _TO_REPORTER_S + _GIVEN_UP_S + _TOLD_S
    ),
}
_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "design" / "news.md"


@pytest.mark.parametrize("way", _SUMS)
def test_each_way_of_news_is_within_the_strictest_bound(way: str) -> None:
    assert _SUMS[way] < _BOUND_S


def test_the_usual_ways_are_within_six_tenths_of_it() -> None:
    for way in ("store well, relay", "store well, reporter"):
        assert _SUMS[way] <= 0.6 * _BOUND_S


def test_the_page_shows_the_sums() -> None:
    page = _PAGE.read_text()
    for way, sum_s in _SUMS.items():
        assert f"| {way} | {sum_s:.2f} s | {_BOUND_S - sum_s:.2f} s |" in page


def test_a_kept_entry_ends_before_the_stores_word_is_final() -> None:
    # 3 s after its return, and the return may follow the last failed call.
    assert outages._FINAL_S < 3.0
    assert outages.LAPSE_S <= outages._FINAL_S


def test_a_relay_that_does_not_answer_is_left_before_news_is_late() -> None:
    assert following._RELAY_TIMEOUT_S < version_tracker.VersionTracker.BEHIND_S
