from pollenfork.routes import freshness


def test_nothing_is_trusted_before_the_first_proof() -> None:
    assert not freshness.Freshness(5.0).trusts_keys(0.0)
    assert not freshness.Freshness(None).trusts_keys(0.0)


def test_keys_are_trusted_until_well_before_the_bound() -> None:
    known = freshness.Freshness(5.0)
    known.record_current(10.0)
    assert known.trusts_keys(13.0)
    assert not known.trusts_keys(14.0)
    assert not known.trusts_keys(15.0)


def test_older_proof_takes_nothing_back() -> None:
    known = freshness.Freshness(5.0)
    known.record_current(10.0)
    known.record_current(8.0)
    assert known.age(11.0) == 1.0


def test_without_a_bound_keys_stay_trusted() -> None:
    known = freshness.Freshness(None)
    known.record_current(0.0)
    assert known.trusts_keys(1e6)
