"""Worst-case propagation times of updates, computed from the constants.

`docs/design/news.md` lists the same sums. These tests fail if a constant is
changed so that a bound no longer holds or the page is out of date.
"""

import pathlib

import pytest

from pollenfork.catalogue import outages
from pollenfork.gateway import following
from pollenfork.gateway import news
from pollenfork.gateway import sources
from pollenfork.loads import core
from pollenfork.loads import lines

# Seconds that the strictest deployment allows from the store's acknowledgement
# of a leaving runner to the last request sent to it.
_BOUND_S = 2.0
# Seconds that a response of the store, a datagram, or a table fetched from a
# nearby instance takes on a busy machine; usually it is some milliseconds.
_CALL_S = 0.02
_POLL_INTERVAL_S = sources._RUNNERS_REST_S
_LACKING_S = news.TableNews.LACKING_S
# Sent at the sender's next period, and processed in the receiver's next one.
_ANNOUNCE_S = 2 * core.PERIOD_S + _CALL_S
_FROM_STORE_S = _POLL_INTERVAL_S + _CALL_S
_TO_REPORTER_S = _ANNOUNCE_S + _CALL_S
_TO_REFUSED_S = _ANNOUNCE_S + _LACKING_S + _CALL_S
# Any other instance with the update announces it at its next period. It is
# asked for the update in the period in which the relay proves to be late.
_ANNOUNCED_S = (
    _ANNOUNCE_S + news.TableNews.RELAY_LATE_S + core.PERIOD_S + _CALL_S
)
# Timeout of a relay that doesn't answer, and the search for another source.
_RELAY_ABANDONED_S = following._RELAY_TIMEOUT_S + following._LOOK_S

# Seconds for which packets are queued each way on a reporter's link. A datagram
# announces the update, the relay doesn't answer in time, and the store does.
_QUEUEING_S = 0.25
_PAST_RELAY_S = (
    _ANNOUNCE_S + _QUEUEING_S + following._RELAY_TIMEOUT_S + 2 * _QUEUEING_S
)

_WORST_CASES_S = {
    "store well, relay": _FROM_STORE_S,
    "store well, reporter": _FROM_STORE_S + _TO_REPORTER_S,
    "one datagram lost": _FROM_STORE_S + _TO_REPORTER_S + lines._REPEAT_S,
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
def test_each_path_is_within_the_strictest_bound(way: str) -> None:
    assert _WORST_CASES_S[way] < _BOUND_S


def test_the_usual_paths_are_within_six_tenths_of_the_bound() -> None:
    for way in ("store well, relay", "store well, reporter"):
        assert _WORST_CASES_S[way] <= 0.6 * _BOUND_S


def test_the_documentation_lists_the_sums() -> None:
    page = _PAGE.read_text()
    for way, sum_s in _WORST_CASES_S.items():
        assert f"| {way} | {sum_s:.2f} s | {_BOUND_S - sum_s:.2f} s |" in page


def test_a_retained_entry_expires_before_the_stores_rows_are_final() -> None:
    # The rows are final 3 s after the store's return, which may directly follow
    # the last failed call.
    assert outages._FINAL_S < 3.0
    assert outages.LAPSE_S <= outages._FINAL_S


def test_an_unresponsive_relay_is_abandoned_before_updates_are_late() -> None:
    assert following._RELAY_TIMEOUT_S < news.TableNews.BEHIND_S
