"""What the bounds on duties leave, added up from the constants.

The table of these sums is in docs/design/duties.md.
"""

import pathlib

from pollenfork.gateway import accounting
from pollenfork.gateway import duty_agent
from pollenfork.gateway import platform_calls
from pollenfork.gateway import settings
from pollenfork.poison.tests import pages

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "design" / "duties.md"
BOUNDS = settings.DutySettings(platform=settings.Address("10.0.0.1", 1))
CALL_S = 0.1  # To the store or the platform; it answers within 4 ms.

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


def test_holders_by_turns_are_apart_by_more_than_the_bound() -> None:
    assert 1.4 * BOUNDS.alternation_s <= WAIT_S


def test_the_last_call_of_one_takes_effect_before_the_next_acts() -> None:
    assert LAST_EFFECT_S < WAIT_S


def test_a_report_is_in_time_in_each_case() -> None:
    late = [total for name, total in SUMS.items() if "A, B" not in name]
    assert max(late) <= 0.8 * BOUNDS.due_s


def test_the_page_states_the_sums() -> None:
    for name, total in SUMS.items():
        row = pages.find_row(PAGE, name)
        assert row[2] == f"{total:.1f} s", (name, total)
