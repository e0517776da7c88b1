"""Digests recognize the same request and tell it from all others."""

from pollenfork import ids
from pollenfork.poison import digests

ACCOUNT = ids.AccountId("a")
GIVEN = (ACCOUNT, b"POST", b"/p/1", b"text")


def test_the_digest_of_a_request_is_the_same_in_every_process() -> None:
    assert digests.compute(*GIVEN) == digests.compute(*GIVEN)
    assert digests.compute(None, b"GET", b"/", b"") == 0x80621653CB764083


def test_another_account_method_target_or_body_changes_the_digest() -> None:
    others = [
        (None, b"POST", b"/p/1", b"text"),
        (ids.AccountId("b"), b"POST", b"/p/1", b"text"),
        (ACCOUNT, b"PUT", b"/p/1", b"text"),
        (ACCOUNT, b"POST", b"/p/2", b"text"),
        (ACCOUNT, b"POST", b"/p/1", b"texts"),
        (ACCOUNT, b"POST", b"/p/1 t", b"ext"),
    ]
    made = {digests.compute(*each) for each in (GIVEN, *others)}
    assert len(made) == 1 + len(others)
