from pollenfork.ratelimits import table

RUNNER = 7


def make_limit(rate, requested_at: float, answered_at: float) -> table.Limit:
    return table.Limit(rate, requested_at, answered_at)


def test_a_limit_applies_until_a_later_answer_has_none() -> None:
    limits = table.LimitTable()
    assert limits.update(RUNNER, make_limit(2.0, 1.0, 1.5))
    assert not limits.update(RUNNER, make_limit(None, 1.4, 1.9))
    assert limits.find(RUNNER) == 2.0
    assert limits.update(RUNNER, make_limit(None, 1.6, 1.9))
    assert limits.find(RUNNER) is None


def test_a_delayed_answer_doesnt_restore_an_old_limit() -> None:
    limits = table.LimitTable()
    limits.update(RUNNER, make_limit(2.0, 1.0, 1.5))
    limits.update(RUNNER, make_limit(None, 5.0, 5.5))
    assert not limits.update(RUNNER, make_limit(2.0, 0.5, 4.9))
    assert limits.find(RUNNER) is None


def test_the_stricter_of_two_concurrent_answers_applies() -> None:
    for first, second in ((5.0, 1.0), (1.0, 5.0)):
        limits = table.LimitTable()
        limits.update(RUNNER, make_limit(first, 1.0, 2.0))
        limits.update(RUNNER, make_limit(second, 1.5, 2.5))
        assert limits.find(RUNNER) == 1.0


def test_a_higher_rate_applies_once_a_later_request_is_answered() -> None:
    limits = table.LimitTable()
    limits.update(RUNNER, make_limit(1.0, 1.0, 2.0))
    assert limits.update(RUNNER, make_limit(5.0, 2.1, 2.5))
    assert limits.find(RUNNER) == 5.0


def test_a_runner_without_a_limit_has_no_entry() -> None:
    limits = table.LimitTable()
    assert not limits.update(RUNNER, make_limit(None, 1.0, 1.5))
    assert limits.list_runners() == []


def test_ages_sent_to_another_instance_keep_counting() -> None:
    limits, other = table.LimitTable(), table.LimitTable()
    limits.update(RUNNER, make_limit(2.0, 100.0, 100.5))
    message = limits.export(RUNNER, 101.0)
    assert other.update(RUNNER, table.from_message(message, 7.0))
    assert not other.update(RUNNER, make_limit(None, 6.4, 7.2))
    assert other.update(RUNNER, make_limit(None, 6.6, 7.2))


def test_limits_of_unknown_runners_expire() -> None:
    limits = table.LimitTable()
    limits.update(RUNNER, make_limit(2.0, 1.0, 1.5))
    limits.update(8, make_limit(2.0, 1.0, 1.5))
    limits.retain({RUNNER}, 30.0)
    assert limits.list_runners() == [RUNNER, 8]
    limits.retain({RUNNER}, 62.0)
    assert limits.list_runners() == [RUNNER]


def test_an_ended_limit_is_exported_for_a_while() -> None:
    limits = table.LimitTable()
    limits.update(RUNNER, make_limit(2.0, 1.0, 1.5))
    limits.update(RUNNER, make_limit(None, 2.0, 2.5))
    assert limits.export(RUNNER, 3.0).rate is None
    limits.retain({RUNNER}, 70.0)
    assert limits.export(RUNNER, 70.0) is None
