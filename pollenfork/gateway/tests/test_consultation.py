"""Proof of the store waits until peers could name something newer."""

from pollenfork.gateway import consultation

LIMIT_S = consultation.Consultation.LIMIT_S


def make_open() -> consultation.Consultation:
    opened = consultation.Consultation()
    opened.offer(99.9, 100.0)
    return opened


def test_proof_waits_for_peers_and_keeps_its_moment() -> None:
    opened = make_open()
    assert opened.release(100.1, in_touch=False) is None
    opened.offer(100.1, 100.2)
    assert opened.release(100.3, in_touch=True) == 100.1
    assert opened.release(100.4, in_touch=True) is None


# Guards against serving nobody where all peers are cut off or gone.
def test_the_store_alone_counts_once_peers_stayed_silent() -> None:
    opened = make_open()
    late = 100.0 + LIMIT_S
    assert opened.release(late, in_touch=False) == 99.9
    opened.offer(late, late)
    assert opened.release(late, in_touch=False) == late


def test_a_store_that_failed_is_believed_only_after_peers_again() -> None:
    opened = make_open()
    opened.release(100.1, in_touch=True)
    opened.begin()
    assert not opened.holds_proof
    opened.offer(110.0, 110.0)
    assert opened.release(110.0 + LIMIT_S / 2, in_touch=False) is None
    opened.begin()
    opened.offer(111.0, 111.0)
    # The limit counts from the first answer since the last failure.
    assert opened.release(110.0 + LIMIT_S, in_touch=False) is None
