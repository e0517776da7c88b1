"""Options of the tests of whole sessions."""

import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option that writes the golden sessions anew."""
    parser.addoption(
        "--rewrite-golden",
        action="store_true",
        help="write tests/golden/sessions anew; review the difference",
    )
