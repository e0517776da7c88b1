"""Tests lookups of packed accounts, also with equal digest prefixes."""

import hypothesis
from hypothesis import strategies as st

from pollenfork.settings import accounts
from pollenfork.settings import model

PREFIX = "ab" * 5
# Many of these digests share the prefix that the index is sorted by.
DIGESTS = st.builds(
    lambda prefix, rest: prefix + rest,
    st.sampled_from([PREFIX, "ab" * 4 + "ac", "00" * 5, "ff" * 5]),
    st.sampled_from(["0", "1", "f"]).map(lambda digit: digit * 54),
)


def make_account(digest: str, limit: int = 64) -> model.Account:
    return model.Account(
        key_sha256=digest,
        classes=("morning", "summary"),
        default_class="summary",
        max_in_flight=limit,
    )


@hypothesis.given(st.lists(DIGESTS, unique=True), st.integers(1, 4), DIGESTS)
def test_an_account_is_found_by_its_whole_digest(known, teams, other) -> None:
    kept: dict[str, dict[str, model.Account]] = {}
    for number, digest in enumerate(known):
        team = kept.setdefault(f"team-{number % teams}", {})
        team[f"account-{number}"] = make_account(digest, number + 1)
    index = accounts.AccountIndex(
        {team: accounts.AccountPack(held) for team, held in kept.items()}
    )
    assert len(index) == len(known)
    for team, held in kept.items():
        for name, account in held.items():
            found_team, found = index.find(account.key_sha256)
            assert (found_team, found.name) == (team, name)
            assert found.unpack() == account
    assert (index.find(other) is not None) == (other in known)
