"""Broken connections take bounded memory, and count only near a crash."""

from pollenfork import ids
from pollenfork.fleet import registry
from pollenfork.poison import crashes
from pollenfork.poison import detector
from pollenfork.poison.tests import fleet as fleets

DIGEST = ids.RequestDigest(1)


def make(
    recorded: list[crashes.Crash],
) -> tuple[detector.CrashDetector, registry.Registry]:
    runners = registry.Registry()
    runners.put(fleets.make_runner("r", "10.9.0.1", 1))
    crash_detector = detector.CrashDetector(
        runners,
        1,
        lambda runner, at: False,
        lambda digest, crash, now: recorded.append(crash),
        lambda: 2,
    )
    return crash_detector, runners


def test_a_runner_that_only_breaks_connections_takes_bounded_memory() -> None:
    crash_detector, runners = make([])
    (runner,) = runners.list_all()
    for number in range(5_000):
        now = 0.1 * number
        crash_detector.record_broken_connection(DIGEST, runner, now - 0.05, now)
    assert sum(map(len, crash_detector._broken.values())) <= 51


def test_only_connections_that_broke_shortly_before_a_crash_count() -> None:
    recorded: list[crashes.Crash] = []
    crash_detector, runners = make(recorded)
    (runner,) = runners.list_all()
    crash_detector.record_broken_connection(DIGEST, runner, 9.0, 10.0)
    crash_detector.record_broken_connection(DIGEST, runner, 19.0, 20.0)
    crash_detector.record_ended(
        fleets.evidence.hash_runner(runner), 20.1, "nobody_there"
    )
    assert [each.crashed_at for each in recorded] == [20.0]
