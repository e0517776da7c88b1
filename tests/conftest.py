"""Pytest options and the shared site of the session tests."""

from collections.abc import Iterator

import pytest

from tests import contract


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option that rewrites the golden sessions."""
    parser.addoption(
        "--rewrite-golden",
        action="store_true",
        help="rewrite tests/golden/sessions; review the diff",
    )


@pytest.fixture(scope="module")
def shared() -> Iterator[contract.Site]:
    """A site with scripted endpoints, one per module."""
    started = contract.Site()
    yield started
    started.stop()


@pytest.fixture
def site(shared: contract.Site) -> contract.Site:
    """The module's site, reset to its default scripts and no calls."""
    return contract.reset(shared)
