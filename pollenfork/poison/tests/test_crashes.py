"""Which crashes count, and how many of them are successive."""

from pollenfork import ids
from pollenfork.poison import crashes


def make(*recorded: crashes.Crash) -> crashes.CrashHistory:
    history = crashes.CrashHistory(ids.RequestDigest(1))
    for crash in recorded:
        history.add(crash, crash.crashed_at)
    return history


# Guards against a popular request being quarantined (for 0.1 s) while a poison
# request crashes three runners. Three instances had sent it to one of them
# within a millisecond of its crash, on connections that were already closed;
# each send was taken for a new run there, with a crash of its own after 0 ms.
def test_sends_to_a_runner_that_has_just_crashed_count_no_further_crash() -> (
    None
):
    first = crashes.Crash(7, 10.0, 10.05, 1)
    after = [
        crashes.Crash(7, 10.05, 10.05, 2),
        crashes.Crash(7, 10.051, 10.052, 3),
        crashes.Crash(7, 10.14, 10.15, 4),
    ]
    history = make(first, *after)
    assert history.crashes == [first]
    assert make(*after, first).crashes[0].runner_hash == 7
    assert len(make(*after, first).crashes) == 1


def test_a_restarted_runner_may_crash_again() -> None:
    first = crashes.Crash(7, 10.0, 10.05, 1)
    again = crashes.Crash(7, 10.28, 10.31, 2)
    assert make(first, again).crashes == [first, again]


def test_a_crash_that_two_instances_observe_counts_once() -> None:
    first = crashes.Crash(7, 10.0, 10.05, 1)
    same = crashes.Crash(7, 9.2, 10.051, 2)
    assert make(first, same).crashes == [first]


def test_simultaneous_crashes_are_not_successive() -> None:
    recorded = [crashes.Crash(n, 10.0, 10.1 + n / 100, n) for n in range(4)]
    assert crashes.count_successive(recorded) == 1
