"""How soon all instances know of a third crash, computed from the constants.

Sends are allowed for 3 s after the third crash. docs/design/poison.md has the
table of these sums.
"""

import pathlib

from pollenfork.loads import core
from pollenfork.loads import dissemination
from pollenfork.poison import crashes
from pollenfork.poison import detector
from pollenfork.poison.tests import doc_tables

WINDOW_S = 3.0
# The latency of a datagram, and the time until a connection is refused.
HOP_S = 0.02
# With three receivers each, 195 instances are reached in four hops, the senders
# included.
HOPS = 4
PAGE = pathlib.Path(__file__).parents[3] / "docs" / "design" / "poison.md"

PROOF_S = HOP_S
CHECK_S = HOP_S
SUMS = {
    "no loss": PROOF_S + HOPS * HOP_S + CHECK_S,
    "first telling lost": (PROOF_S + HOPS * (HOP_S + core.PERIOD_S) + CHECK_S),
    "can't connect": PROOF_S + HOPS * HOP_S + detector._UNCONFIRMED_S,
    "all news lost": (
        PROOF_S
        + HOPS * (HOP_S + core.PERIOD_S)
        + dissemination._PAGE_S
        + CHECK_S
    ),
    "at one moment": crashes.CONCURRENT_WAIT_S,
    "that starts": core.PERIOD_S + dissemination._ASK_S + 2 * HOP_S + CHECK_S,
}


def test_each_sum_leaves_a_quarter_of_the_window() -> None:
    assert max(SUMS.values()) <= 0.75 * WINDOW_S


def test_the_page_states_the_sums() -> None:
    for name, total in SUMS.items():
        row = doc_tables.find_row(PAGE, name)
        assert row[1] == f"{total:.2f} s", name
        assert row[2] == f"{WINDOW_S - total:.2f} s", name
