"""Which ends count, and how many of them follow each other."""

from pollenfork import ids
from pollenfork.poison import crashes


def make(*ends: crashes.Crash) -> crashes.CrashHistory:
    case = crashes.CrashHistory(ids.RequestDigest(1))
    for end in ends:
        case.add(end, end.crashed_at)
    return case


# What was seen: a popular text was kept back for 0.1 s while a poison request
# ended three runners. How it came about: three instances sent it to one of them
# within a millisecond of its end, on connections that were closed already, and
# each of these sends followed the one before. Cause: a send after the end of a
# runner was taken for a new run there. Proof: the log line of its keeping back
# named one place three times, with a send that ran 0 ms.
def test_sends_to_a_runner_that_has_just_ended_are_no_further_ends() -> None:
    first = crashes.Crash(7, 10.0, 10.05, 1)
    after = [
        crashes.Crash(7, 10.05, 10.05, 2),
        crashes.Crash(7, 10.051, 10.052, 3),
        crashes.Crash(7, 10.14, 10.15, 4),
    ]
    case = make(first, *after)
    assert case.crashes == [first]
    assert make(*after, first).crashes[0].runner_hash == 7
    assert len(make(*after, first).crashes) == 1


def test_a_runner_that_is_back_at_its_place_may_end_once_more() -> None:
    first = crashes.Crash(7, 10.0, 10.05, 1)
    again = crashes.Crash(7, 10.28, 10.31, 2)
    assert make(first, again).crashes == [first, again]


def test_one_end_that_two_instances_saw_counts_once() -> None:
    first = crashes.Crash(7, 10.0, 10.05, 1)
    same = crashes.Crash(7, 9.2, 10.051, 2)
    assert make(first, same).crashes == [first]


def test_ends_of_what_ran_at_the_same_time_make_one_round() -> None:
    ends = [crashes.Crash(n, 10.0, 10.1 + n / 100, n) for n in range(4)]
    assert crashes.count_successive(ends) == 1
