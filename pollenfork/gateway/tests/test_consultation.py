"""Proof of the store waits until peers could name something newer."""

from pollenfork.gateway import consultation

LIMIT_S = consultation.Consultation.LIMIT_S
RELAY_START_LIMIT_S = consultation.Consultation.RELAY_START_LIMIT_S


def make_started() -> consultation.Consultation:
    started = consultation.Consultation(100.0)
    started.offer(100.0, 100.1)
    return started


def make_returned() -> consultation.Consultation:
    returned = consultation.Consultation(50.0)
    returned.begin()
    returned.offer(99.9, 100.0)
    return returned


def release(
    held: consultation.Consultation,
    now: float,
    in_touch: bool = False,
    expects_relays: bool = True,
) -> float | None:
    return held.release(now, in_touch, expects_relays)


def test_proof_waits_for_peers_and_keeps_its_moment() -> None:
    returned = make_returned()
    assert release(returned, 100.1) is None
    returned.offer(100.1, 100.2)
    assert release(returned, 100.3, in_touch=True) == 100.1
    assert release(returned, 100.4, in_touch=True) is None


# Guards against serving nobody where all peers are cut off or gone.
def test_the_store_alone_counts_once_peers_stayed_silent() -> None:
    returned = make_returned()
    late = 100.0 + LIMIT_S
    assert release(returned, late - 0.01) is None
    assert release(returned, late) == 99.9
    returned.offer(late, late)
    assert release(returned, late) == late


# Guards against refusing callers for long while all instances start at once.
def test_a_relay_that_starts_waits_for_running_peers_only() -> None:
    started = make_started()
    assert release(started, 100.2) is None
    # The limit counts from the start, not from the store's first answer.
    late = 100.01 + RELAY_START_LIMIT_S
    assert release(started, late, expects_relays=False) is None
    assert release(started, late) == 100.0


def test_a_store_that_failed_is_believed_only_after_peers_again() -> None:
    started = make_started()
    release(started, 100.1, in_touch=True)
    started.begin()
    assert not started.holds_proof
    started.offer(110.0, 110.0)
    assert release(started, 110.0 + LIMIT_S / 2) is None
    started.begin()
    started.offer(111.0, 111.0)
    # The limit counts from the first answer since the last failure.
    assert release(started, 110.0 + LIMIT_S) is None
