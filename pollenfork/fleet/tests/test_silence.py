"""How a runner's silence is found and ends."""

from pollenfork.fleet import silence

FOUND_AT = 10.0


def make_silent() -> silence.Silence:
    known = silence.Silence()
    known.record_heard(FOUND_AT - 0.9)
    known.record_found(FOUND_AT)
    return known


def test_a_runner_that_sends_on_another_connection_is_not_silent() -> None:
    known = silence.Silence()
    known.record_heard(10.0)
    assert not known.is_due(10.1)
    assert known.is_due(10.5)


def test_a_silence_is_found_once_and_ends_when_the_runner_is_heard() -> None:
    known = make_silent()
    assert known.is_known
    assert not known.record_found(FOUND_AT + 0.1)
    assert known.record_heard(FOUND_AT + 0.3)
    assert not known.is_known
    assert known.resumed_at == FOUND_AT + 0.3
    assert not known.record_heard(FOUND_AT + 0.4)
