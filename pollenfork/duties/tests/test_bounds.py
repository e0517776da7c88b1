"""Bounds on the times of the duties, computed from the constants.

docs/design/duties.md has the table of these sums.
"""

import pathlib

from pollenfork.gateway import accounting
from pollenfork.gateway import duty_agent
from pollenfork.gateway import platform_calls
from pollenfork.gateway import settings
from pollenfork.poison.tests import doc_tables

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "design" / "duties.md"
BOUNDS = settings.DutySettings(platform=settings.Address("10.0.0.1", 1))
CALL_S = 0.1  # To the store or the platform, which reply within 4 ms.

LEASE_S = BOUNDS.alternation_s * duty_agent._LEASE_FACTOR
WAIT_S = LEASE_S + platform_calls.ORDER_S
LAST_EFFECT_S = LEASE_S - duty_agent._MARGIN_S + platform_calls.ORDER_S
TAKE_OVER_S = CALL_S + WAIT_S + CALL_S
REPORT_S = accounting._TAKEOVER_S + 2 * CALL_S
DEATH_S = (
    duty_agent._HOLDER_TIMEOUT_S + duty_agent._TICK_S + TAKE_OVER_S + REPORT_S
)
TURNED_AWAY_S = (
    LEASE_S / 3.0 + 0.3 + duty_agent._TALLY_INTERVAL_S + duty_agent._TICK_S
)

SUMS = {
    "A, B, A": WAIT_S,
    "a lower number": LAST_EFFECT_S,
    "its holder dies": DEATH_S,
    "the first candidate": DEATH_S + duty_agent._RANK_DELAY_S,
    "turns the holder away": TURNED_AWAY_S + TAKE_OVER_S + REPORT_S,
}


def test_alternating_holders_are_further_apart_than_the_bound() -> None:
    assert 1.4 * BOUNDS.alternation_s <= WAIT_S


def test_a_holders_last_call_takes_effect_before_the_next_one_acts() -> None:
    assert LAST_EFFECT_S < WAIT_S


def test_every_report_is_in_time() -> None:
    late = [total for name, total in SUMS.items() if "A, B" not in name]
    assert max(late) <= 0.8 * BOUNDS.due_s


def test_the_page_states_the_sums() -> None:
    for name, total in SUMS.items():
        row = doc_tables.find_row(PAGE, name)
        assert row[2] == f"{total:.1f} s", (name, total)
