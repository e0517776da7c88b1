"""Which ends count, and how many of them follow each other."""

from pollenfork import ids
from pollenfork.poison import cases


def make(*ends: cases.End) -> cases.Case:
    case = cases.Case(ids.RequestDigest(1))
    for end in ends:
        case.add(end, end.ended_at)
    return case


# What was seen: a popular text was kept back for 0.1 s while a poison request
# ended three runners. How it came about: three instances sent it to one of them
# within a millisecond of its end, on connections that were closed already, and
# each of these sends followed the one before. Cause: a send after the end of a
# runner was taken for a new run there. Proof: the log line of its keeping back
# named one place three times, with a send that ran 0 ms.
def test_sends_to_a_runner_that_has_just_ended_are_no_further_ends() -> None:
    first = cases.End(7, 10.0, 10.05, 1)
    after = [
        cases.End(7, 10.05, 10.05, 2),
        cases.End(7, 10.051, 10.052, 3),
        cases.End(7, 10.14, 10.15, 4),
    ]
    case = make(first, *after)
    assert case.ends == [first]
    assert make(*after, first).ends[0].place == 7
    assert len(make(*after, first).ends) == 1


def test_a_runner_that_is_back_at_its_place_may_end_once_more() -> None:
    first = cases.End(7, 10.0, 10.05, 1)
    again = cases.End(7, 10.28, 10.31, 2)
    assert make(first, again).ends == [first, again]


def test_one_end_that_two_instances_saw_counts_once() -> None:
    first = cases.End(7, 10.0, 10.05, 1)
    same = cases.End(7, 9.2, 10.051, 2)
    assert make(first, same).ends == [first]


def test_ends_of_what_ran_at_the_same_time_make_one_round() -> None:
    ends = [cases.End(n, 10.0, 10.1 + n / 100, n) for n in range(4)]
    assert cases.count_rounds(ends) == 1
