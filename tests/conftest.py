"""Options and the shared site of the tests of whole sessions."""

from collections.abc import Iterator

import pytest

from tests import contract


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option that writes the golden sessions anew."""
    parser.addoption(
        "--rewrite-golden",
        action="store_true",
        help="write tests/golden/sessions anew; review the difference",
    )


@pytest.fixture(scope="module")
def shared() -> Iterator[contract.Site]:
    """A site of scripted endpoints, one for each module."""
    started = contract.Site()
    yield started
    started.stop()


@pytest.fixture
def site(shared: contract.Site) -> contract.Site:
    """The module's site with its first scripts and no calls noted."""
    return contract.reset(shared)
