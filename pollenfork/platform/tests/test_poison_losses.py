"""Which failed requests are explained by the crashes of their runners."""

import types

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import poison
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import site as sites

CRASHES = [sites.Ending(10.0, "/p", "i-1"), sites.Ending(10.5, "/p", "i-2")]


def list_unexplained(asked: caller.Asked, *ran_at: str) -> list[str]:
    record = records.Record()
    record.runs = [
        records.Run(asked.attempt, name, asked.sent, "", asked.path)
        for name in ran_at
    ]
    site = types.SimpleNamespace(record=record, ended_by_requests=CRASHES)
    return poison._list_unexplained(site, [asked])


def make(kind: str, sent: float, ended: float, status: int = 502):
    return caller.Asked("q", kind, "k", "g", sent, ended, status)


def test_an_at_most_once_request_may_fail_if_its_runner_crashes() -> None:
    assert not list_unexplained(make("unsafe", 9.9, 10.01), "i-1")
    assert not list_unexplained(make("stream", 10.05, 10.06))


def test_requests_elsewhere_or_at_other_times_must_not_fail() -> None:
    assert list_unexplained(make("unsafe", 9.9, 10.01), "i-2")
    assert list_unexplained(make("unsafe", 9.5, 9.6), "i-1")
    assert list_unexplained(make("unsafe", 10.2, 10.3), "i-1")


def test_a_retryable_request_may_fail_only_after_a_second_crash() -> None:
    assert list_unexplained(make("safe", 9.9, 10.2), "i-1")
    assert list_unexplained(make("resume", 9.9, 10.6, 200), "i-1")
    assert not list_unexplained(make("resume", 9.9, 10.6), "i-1", "i-2")


# Guards against blaming the gateway for a request whose first attempt crossed
# the end of its runner, which noted no run, and whose second met another end.
def test_a_request_sent_as_its_runner_crashes_may_have_left_no_run() -> None:
    assert not list_unexplained(make("resume", 9.999, 10.6), "i-2")
    assert list_unexplained(make("resume", 9.8, 10.6), "i-2")
    assert list_unexplained(make("resume", 9.999, 10.4), "i-3")
