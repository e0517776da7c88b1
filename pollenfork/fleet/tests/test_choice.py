import random

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.fleet import offers
from pollenfork.fleet import outcomes
from pollenfork.fleet import registry
from pollenfork.fleet.tests import test_registry
from pollenfork.loads import messages as loads

SERVICE = ids.ServiceName("s")
SHARED = model.Part(b"shared", 13_000)


def make_fleet(count: int = 9, slots: int = 4) -> registry.Registry:
    runners = registry.Registry()
    for number in range(count):
        runners.put(test_registry.make_runner(f"r{number}", slots=slots))
    return runners


def make_chooser(runners=None, read_others=None) -> choice.Chooser:
    return choice.Chooser(
        runners or make_fleet(), random.Random(1), read_others
    )


def ask(shared: bytes = b"shared", own: int = 500) -> offers.Demand:
    parts = (model.Part(shared, 13_000), model.Part(b"own", own))
    return offers.Demand(SERVICE, parts)


def test_instances_that_know_nothing_agree_on_a_home() -> None:
    homes = {
        make_chooser().choose(ask(), set(), 0.0).runner.id for _ in range(5)
    }
    assert len(homes) == 1


def test_different_prompts_have_different_homes() -> None:
    chooser = make_chooser()
    homes = set()
    for number in range(60):
        grant = chooser.choose(ask(b"p%d" % number), set(), 0.0)
        homes.add(grant.runner.id)
        chooser.settle(grant)
    assert len(homes) == 9


def test_a_prompt_stays_where_it_was_read_when_a_runner_joins() -> None:
    runners = make_fleet()
    chooser = make_chooser(runners)
    first = {}
    for number in range(40):
        grant = chooser.choose(ask(b"p%d" % number), set(), 0.0)
        first[number] = grant.runner.id
        chooser.settle(grant)
    for number in range(9, 14):
        runners.put(test_registry.make_runner(f"r{number}"))
    for number in range(40):
        grant = chooser.choose(ask(b"p%d" % number), set(), 0.0)
        assert grant.runner.id == first[number]
        chooser.settle(grant)


def test_a_placement_of_another_instance_is_followed() -> None:
    chooser = make_chooser()
    mark = loads.hash_name(b"r5")
    chooser.caches.note(mark, loads.hash_name(b"shared"))
    assert chooser.choose(ask(), set(), 0.0).runner.id == "r5"


def test_a_prompt_moves_only_when_waiting_costs_more() -> None:
    busy = {}
    chooser = make_chooser(
        read_others=lambda mark: busy.get(mark, loads.Load())
    )
    home = chooser.choose(ask(), set(), 0.0)
    chooser.settle(home)
    mark = loads.hash_name(home.runner.id.encode())
    busy[mark] = loads.Load(1, 10_000)
    again = chooser.choose(ask(), set(), 0.0)
    assert again.runner.id == home.runner.id
    chooser.settle(again)
    busy[mark] = loads.Load(1, 120_000)
    assert chooser.choose(ask(), set(), 0.0).runner.id != home.runner.id


def test_a_prompt_stays_when_all_runners_have_much_to_read() -> None:
    loaded: dict[int, loads.Load] = {}
    chooser = make_chooser(
        read_others=lambda mark: loaded.get(mark, loads.Load(1, 100_000))
    )
    home = chooser.choose(ask(), set(), 0.0)
    chooser.settle(home)
    # 1.2 s more to read than elsewhere: reason to leave an idle fleet's home.
    mark = loads.hash_name(home.runner.id.encode())
    loaded[mark] = loads.Load(1, 170_000)
    assert chooser.choose(ask(), set(), 0.0).runner.id == home.runner.id


def test_a_short_prompt_avoids_what_others_have_under_way() -> None:
    idle = loads.hash_name(b"r3")
    chooser = make_chooser(
        read_others=lambda mark: loads.Load(1, 0 if mark == idle else 9000)
    )
    demand = offers.Demand(
        SERVICE, (model.Part(b"a", 200), model.Part(b"own", 900))
    )
    assert chooser.choose(demand, set(), 0.0).runner.id == "r3"


def test_a_backlog_over_the_limit_is_told_and_nothing_is_granted() -> None:
    chooser = make_chooser(read_others=lambda mark: loads.Load(1, 20_000))
    found = chooser.choose(ask(), set(), 0.0, longest_s=0.3)
    assert isinstance(found, outcomes.Overloaded)
    assert chooser.list_loads() == {}
    found = chooser.choose(ask(), set(), 0.0, longest_s=1.0)
    assert isinstance(found, outcomes.Grant)


def test_a_runner_that_failed_is_passed_over_for_a_while() -> None:
    chooser = make_chooser()
    home = chooser.choose(ask(), set(), 0.0)
    home.standing.note_end(messages.End.BROKEN, False, 0.0)
    chooser.settle(home)
    assert chooser.choose(ask(), set(), 0.1).runner.id != home.runner.id


def test_a_lone_runner_is_chosen_though_it_failed() -> None:
    chooser = make_chooser(make_fleet(1))
    grant = chooser.choose(ask(), set(), 0.0)
    grant.standing.note_end(messages.End.UNSENT, False, 0.0)
    chooser.settle(grant)
    assert chooser.choose(ask(), set(), 0.1).runner.id == "r0"


def test_runners_that_were_tried_are_left_out() -> None:
    chooser = make_chooser(make_fleet(2))
    first = chooser.choose(ask(), set(), 0.0)
    second = chooser.choose(ask(), {first.runner.id}, 0.0)
    assert second.runner.id != first.runner.id
    tried = {first.runner.id, second.runner.id}
    assert chooser.choose(ask(), tried, 0.0) is None


def test_what_is_settled_no_longer_counts() -> None:
    chooser = make_chooser()
    grant = chooser.choose(ask(), set(), 0.0)
    assert list(chooser.list_loads().values()) == [loads.Load(1, 13_500)]
    grant.note_first()
    assert list(chooser.list_loads().values()) == [loads.Load(1, 0)]
    chooser.settle(grant)
    assert chooser.list_loads() == {}


def test_long_prompts_and_placements_are_told() -> None:
    chooser, told = make_chooser(), []
    chooser.when_long(lambda: told.append(True))
    chooser.choose(ask(), set(), 0.0)
    assert told == [True]
    assert [each.part for each in chooser.take_placements()] == [
        loads.hash_name(b"shared")
    ]
    assert chooser.take_placements() == []


def test_a_runner_that_fails_four_in_ten_is_avoided_by_plain_requests() -> None:
    chooser = make_chooser(make_fleet(3))
    rng = random.Random(3)
    taken = {"r0": 0, "r1": 0, "r2": 0}
    for step in range(300):
        grant = chooser.choose(offers.Demand(SERVICE), set(), step * 1.0)
        taken[grant.runner.id] += 1
        failed = grant.runner.id == "r1" and rng.random() < 0.4
        end = messages.End.WHOLE
        grant.standing.note_end(end, failed, step * 1.0)
        chooser.settle(grant)
    assert taken["r1"] < 60


def ask_quick(quick: bool) -> offers.Demand:
    parts = (model.Part(b"a", 200), model.Part(b"own", 900))
    return offers.Demand(SERVICE, parts, quick)


def list_chosen(chooser: choice.Chooser, quick: bool, count: int) -> set[str]:
    grants = [
        chooser.choose(ask_quick(quick), set(), 0.0) for _ in range(count)
    ]
    for grant in grants:
        chooser.settle(grant)
    return {grant.runner.id for grant in grants}


def test_long_prompts_never_go_where_urgent_streams_are_kept() -> None:
    chooser = make_chooser()
    urgent = list_chosen(chooser, quick=True, count=3)
    assert len(urgent) == 1
    assert not urgent & list_chosen(chooser, quick=False, count=60)


def test_more_runners_are_kept_for_more_urgent_streams() -> None:
    for quick, kept in ((3, 1), (6, 2), (9, 3)):
        chooser = make_chooser(
            make_fleet(slots=64),
            read_others=lambda mark, quick=quick: loads.Load(10, 0, quick),
        )
        # 27, 54 and 81 under way at nine runners.
        chosen = list_chosen(chooser, quick=False, count=200)
        assert len(chosen) == 9 - kept


def test_urgent_streams_are_kept_room_in_the_slots_of_their_runners() -> None:
    # A burst of urgent streams, 300 at once before 59 runners: kept 35 each,
    # the nine runners of 32 slots had none free, and a third was late.
    for slots, least, most in ((32, 12, 14), (64, 8, 9), (128, 8, 9)):
        chooser = make_chooser(
            make_fleet(59, slots), read_others=lambda mark: loads.Load(5, 0, 5)
        )
        apart = 59 - len(list_chosen(chooser, quick=False, count=2000))
        assert least <= apart <= most


def test_urgent_streams_go_elsewhere_when_their_own_are_loaded() -> None:
    chooser = make_chooser()
    assert len(list_chosen(chooser, quick=True, count=200)) > 3


def test_a_prompt_of_any_length_is_granted_where_little_is_before_it() -> None:
    tokens = 100_000  # 1.8 s of reading alone.
    for reading, granted in ((0, True), (9_000, True), (20_000, False)):
        chooser = make_chooser(
            read_others=lambda mark, reading=reading: loads.Load(1, reading)
        )
        found = chooser.choose(ask(own=tokens), set(), 0.0, longest_s=1.0)
        assert isinstance(found, outcomes.Grant) is granted


def test_a_prompt_that_would_be_read_too_late_is_not_granted() -> None:
    chooser = make_chooser(read_others=lambda mark: loads.Load(1, 56_600))
    found = chooser.choose(ask(), set(), 0.0, longest_s=1.0)
    assert isinstance(found, outcomes.Overloaded)
    # A second for what is there, and 13,500 tokens of its own.
    assert 1.2 < found.wait_s < 1.3
    assert chooser.list_loads() == {}
    found = chooser.choose(ask(), set(), 0.0, longest_s=1.3)
    assert isinstance(found, outcomes.Grant)
