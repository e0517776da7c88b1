"""Runner selection by cost, cache contents and reserved runners."""

import random

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import messages
from pollenfork.fleet import model
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


def ask(shared: bytes = b"shared", own: int = 500) -> candidates.RequestProfile:
    parts = (model.Part(shared, 13_000), model.Part(b"own", own))
    return candidates.RequestProfile(SERVICE, parts)


def test_new_instances_choose_the_same_runner_for_a_prompt() -> None:
    owners = {
        make_chooser().choose(ask(), set(), 0.0).runner.id for _ in range(5)
    }
    assert len(owners) == 1


def test_different_prompts_are_spread_over_all_runners() -> None:
    chooser = make_chooser()
    owners = set()
    for number in range(60):
        grant = chooser.choose(ask(b"p%d" % number), set(), 0.0)
        owners.add(grant.runner.id)
        chooser.settle(grant)
    assert len(owners) == 9


def test_a_prompt_stays_where_it_is_cached_when_a_runner_joins() -> None:
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


def test_a_placement_of_another_instance_is_used() -> None:
    chooser = make_chooser()
    runner_hash = loads.hash_name(b"r5")
    chooser.caches.add(runner_hash, loads.hash_name(b"shared"))
    assert chooser.choose(ask(), set(), 0.0).runner.id == "r5"


def test_a_prompt_moves_only_if_waiting_costs_more() -> None:
    busy = {}
    chooser = make_chooser(
        read_others=lambda each: busy.get(each, loads.Load())
    )
    home = chooser.choose(ask(), set(), 0.0)
    chooser.settle(home)
    runner_hash = loads.hash_name(home.runner.id.encode())
    busy[runner_hash] = loads.Load(1, 10_000)
    again = chooser.choose(ask(), set(), 0.0)
    assert again.runner.id == home.runner.id
    chooser.settle(again)
    busy[runner_hash] = loads.Load(1, 120_000)
    assert chooser.choose(ask(), set(), 0.0).runner.id != home.runner.id


def test_a_prompt_stays_when_all_runners_have_long_backlogs() -> None:
    loaded: dict[int, loads.Load] = {}
    chooser = make_chooser(
        read_others=lambda each: loaded.get(each, loads.Load(1, 100_000))
    )
    home = chooser.choose(ask(), set(), 0.0)
    chooser.settle(home)
    # A backlog 1.2 s longer than elsewhere would move it in an idle fleet.
    runner_hash = loads.hash_name(home.runner.id.encode())
    loaded[runner_hash] = loads.Load(1, 170_000)
    assert chooser.choose(ask(), set(), 0.0).runner.id == home.runner.id


def test_a_short_prompt_avoids_the_backlogs_of_other_instances() -> None:
    idle = loads.hash_name(b"r3")
    chooser = make_chooser(
        read_others=lambda each: loads.Load(1, 0 if each == idle else 9000)
    )
    profile = candidates.RequestProfile(
        SERVICE, (model.Part(b"a", 200), model.Part(b"own", 900))
    )
    assert chooser.choose(profile, set(), 0.0).runner.id == "r3"


def test_a_backlog_over_the_limit_is_reported_without_a_grant() -> None:
    chooser = make_chooser(read_others=lambda each: loads.Load(1, 20_000))
    found = chooser.choose(ask(), set(), 0.0, max_wait_s=0.3)
    assert isinstance(found, outcomes.Overloaded)
    assert chooser.list_loads() == {}
    found = chooser.choose(ask(), set(), 0.0, max_wait_s=1.0)
    assert isinstance(found, outcomes.Grant)


def test_a_runner_that_failed_is_avoided_for_a_while() -> None:
    chooser = make_chooser()
    home = chooser.choose(ask(), set(), 0.0)
    home.state.record_end(messages.End.BROKEN, False, 0.0)
    chooser.settle(home)
    assert chooser.choose(ask(), set(), 0.1).runner.id != home.runner.id


def test_the_only_runner_is_chosen_even_if_it_failed() -> None:
    chooser = make_chooser(make_fleet(1))
    grant = chooser.choose(ask(), set(), 0.0)
    grant.state.record_end(messages.End.UNSENT, False, 0.0)
    chooser.settle(grant)
    assert chooser.choose(ask(), set(), 0.1).runner.id == "r0"


def test_runners_that_were_tried_are_excluded() -> None:
    chooser = make_chooser(make_fleet(2))
    first = chooser.choose(ask(), set(), 0.0)
    second = chooser.choose(ask(), {first.runner.id}, 0.0)
    assert second.runner.id != first.runner.id
    tried = {first.runner.id, second.runner.id}
    assert chooser.choose(ask(), tried, 0.0) is None


def test_a_settled_grant_no_longer_adds_load() -> None:
    chooser = make_chooser()
    grant = chooser.choose(ask(), set(), 0.0)
    assert list(chooser.list_loads().values()) == [loads.Load(1, 13_500)]
    grant.record_prefill_done()
    assert list(chooser.list_loads().values()) == [loads.Load(1, 0)]
    chooser.settle(grant)
    assert chooser.list_loads() == {}


def test_long_prompts_and_placements_are_announced() -> None:
    chooser, announced = make_chooser(), []
    chooser.when_long(lambda: announced.append(True))
    chooser.choose(ask(), set(), 0.0)
    assert announced == [True]
    assert [each.part for each in chooser.take_placements()] == [
        loads.hash_name(b"shared")
    ]
    assert chooser.take_placements() == []


def test_a_runner_that_fails_four_in_ten_is_avoided_by_plain_requests() -> None:
    chooser = make_chooser(make_fleet(3))
    rng = random.Random(3)
    chosen = {"r0": 0, "r1": 0, "r2": 0}
    for step in range(300):
        grant = chooser.choose(
            candidates.RequestProfile(SERVICE), set(), step * 1.0
        )
        chosen[grant.runner.id] += 1
        failed = grant.runner.id == "r1" and rng.random() < 0.4
        end = messages.End.WHOLE
        grant.state.record_end(end, failed, step * 1.0)
        chooser.settle(grant)
    assert chosen["r1"] < 60


def ask_tiered(top_tier: bool) -> candidates.RequestProfile:
    parts = (model.Part(b"a", 200), model.Part(b"own", 900))
    return candidates.RequestProfile(SERVICE, parts, top_tier)


def list_chosen(
    chooser: choice.Chooser, top_tier: bool, count: int
) -> set[str]:
    grants = [
        chooser.choose(ask_tiered(top_tier), set(), 0.0) for _ in range(count)
    ]
    for grant in grants:
        chooser.settle(grant)
    return {grant.runner.id for grant in grants}


def test_long_prompts_never_go_to_reserved_runners() -> None:
    chooser = make_chooser()
    urgent = list_chosen(chooser, top_tier=True, count=3)
    assert len(urgent) == 1
    assert not urgent & list_chosen(chooser, top_tier=False, count=60)


def test_more_runners_are_reserved_for_more_urgent_streams() -> None:
    for top_tier, reserved in ((3, 1), (6, 2), (9, 3)):
        chooser = make_chooser(
            make_fleet(slots=64),
            read_others=lambda each, top_tier=top_tier: loads.Load(
                10, 0, top_tier
            ),
        )
        # 27, 54 and 81 urgent streams on nine runners.
        chosen = list_chosen(chooser, top_tier=False, count=200)
        assert len(chosen) == 9 - reserved


def test_reserved_runners_keep_free_slots_for_urgent_streams() -> None:
    # A burst of 300 urgent streams on 59 runners: at 35 streams each, the nine
    # reserved runners of 32 slots had no free slot, and a third of the streams
    # was late.
    for slots, least, most in ((32, 12, 14), (64, 8, 9), (128, 8, 9)):
        chooser = make_chooser(
            make_fleet(59, slots), read_others=lambda each: loads.Load(5, 0, 5)
        )
        reserved = 59 - len(list_chosen(chooser, top_tier=False, count=2000))
        assert least <= reserved <= most


def test_urgent_streams_use_other_runners_when_reserved_ones_are_loaded() -> (
    None
):
    chooser = make_chooser()
    assert len(list_chosen(chooser, top_tier=True, count=200)) > 3


def test_a_prompt_of_any_length_is_granted_if_the_backlog_is_short() -> None:
    tokens = 100_000  # 1.8 s of processing by itself.
    for pending, granted in ((0, True), (9_000, True), (20_000, False)):
        chooser = make_chooser(
            read_others=lambda each, pending=pending: loads.Load(1, pending)
        )
        found = chooser.choose(ask(own=tokens), set(), 0.0, max_wait_s=1.0)
        assert isinstance(found, outcomes.Grant) is granted


def test_a_prompt_that_would_be_processed_too_late_is_not_granted() -> None:
    chooser = make_chooser(read_others=lambda each: loads.Load(1, 56_600))
    found = chooser.choose(ask(), set(), 0.0, max_wait_s=1.0)
    assert isinstance(found, outcomes.Overloaded)
    # One second of backlog, and 13,500 tokens of its own.
    assert 1.2 < found.wait_s < 1.3
    assert chooser.list_loads() == {}
    found = chooser.choose(ask(), set(), 0.0, max_wait_s=1.3)
    assert isinstance(found, outcomes.Grant)


# Guards against runners that count as processing prompts for ever: sums of
# fractions of tokens don't return to exactly 0.
def test_runners_that_process_prompts_are_counted() -> None:
    chooser = make_chooser(
        read_others=lambda each: loads.Load(
            1, 700 if each == loads.hash_name(b"r5") else 0
        )
    )
    assert chooser.measure(SERVICE).prefilling == 1
    grant = chooser.choose(ask(), {ids.EndpointId("r5")}, 0.0)
    assert chooser.measure(SERVICE).prefilling == 2
    grant.record_prefill_done()
    grant.state.pending_tokens += 1e-9
    assert chooser.measure(SERVICE).prefilling == 1
