"""What is seen of runners is bounded, and of no more weight than it has."""

from pollenfork import ids
from pollenfork.fleet import registry
from pollenfork.poison import cases
from pollenfork.poison import witness
from pollenfork.poison.tests import fleet as fleets

DIGEST = ids.RequestDigest(1)


def make(ends: list[cases.End]) -> tuple[witness.Witness, registry.Registry]:
    runners = registry.Registry()
    runners.put(fleets.make_runner("r", "10.9.0.1", 1))
    made = witness.Witness(
        runners,
        1,
        lambda runner, at: False,
        lambda digest, end, now: ends.append(end),
        lambda: 2,
    )
    return made, runners


def test_a_runner_that_only_breaks_connections_takes_no_more_memory() -> None:
    made, runners = make([])
    (runner,) = runners.list_all()
    for number in range(5_000):
        now = 0.1 * number
        made.note_broken(DIGEST, runner, now - 0.05, now)
    assert sum(map(len, made._broken.values())) <= 51


def test_only_what_broke_shortly_before_an_end_broke_by_it() -> None:
    ends: list[cases.End] = []
    made, runners = make(ends)
    (runner,) = runners.list_all()
    made.note_broken(DIGEST, runner, 9.0, 10.0)
    made.note_broken(DIGEST, runner, 19.0, 20.0)
    made.note_ended(fleets.evidence.hash_runner(runner), 20.1, "nobody_there")
    assert [each.ended_at for each in ends] == [20.0]
