from pollenfork.routes import freshness


def test_keys_are_not_trusted_before_the_first_confirmation() -> None:
    assert not freshness.Freshness(5.0).trusts_keys(0.0)
    assert not freshness.Freshness(None).trusts_keys(0.0)


def test_keys_are_trusted_until_the_bound_less_the_delays() -> None:
    tracker = freshness.Freshness(5.0)
    tracker.record_current(10.0)
    assert tracker.trusts_keys(13.0)
    assert not tracker.trusts_keys(14.0)
    assert not tracker.trusts_keys(15.0)


def test_older_confirmation_is_ignored() -> None:
    tracker = freshness.Freshness(5.0)
    tracker.record_current(10.0)
    tracker.record_current(8.0)
    assert tracker.age(11.0) == 1.0


def test_keys_stay_trusted_without_a_bound() -> None:
    tracker = freshness.Freshness(None)
    tracker.record_current(0.0)
    assert tracker.trusts_keys(1e6)
