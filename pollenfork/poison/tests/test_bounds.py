"""How soon a third end is known everywhere, added up from the constants.

The promise allows sends for 3 s after the third end. The table of these sums is
in docs/design/poison.md.
"""

import pathlib

from pollenfork.loads import core
from pollenfork.loads import dissemination
from pollenfork.poison import cases
from pollenfork.poison import witness
from pollenfork.poison.tests import pages

WINDOW_S = 3.0
# A way of a datagram, and a connection that is refused.
WAY_S = 0.02
# Three listeners each reach 195 instances in four ways, with those who told.
WAYS = 4
PAGE = pathlib.Path(__file__).parents[3] / "docs" / "design" / "poison.md"

PROOF_S = WAY_S
CHECK_S = WAY_S
SUMS = {
    "no loss": PROOF_S + WAYS * WAY_S + CHECK_S,
    "first telling lost": (PROOF_S + WAYS * (WAY_S + core.PERIOD_S) + CHECK_S),
    "can't connect": PROOF_S + WAYS * WAY_S + witness._DOUBTED_S,
    "all news lost": (
        PROOF_S
        + WAYS * (WAY_S + core.PERIOD_S)
        + dissemination._PAGE_S
        + CHECK_S
    ),
    "at one moment": cases.SETTLING_S,
    "that starts": core.PERIOD_S + dissemination._ASK_S + 2 * WAY_S + CHECK_S,
}


def test_each_sum_leaves_a_quarter_of_the_window() -> None:
    assert max(SUMS.values()) <= 0.75 * WINDOW_S


def test_the_page_states_the_sums() -> None:
    for name, total in SUMS.items():
        row = pages.find_row(PAGE, name)
        assert row[1] == f"{total:.2f} s", name
        assert row[2] == f"{WINDOW_S - total:.2f} s", name
