"""A holder paused at every step, and faults in any order."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from pollenfork import ids
from pollenfork.endpoints import steps
from pollenfork.endpoints.tests import simulation

LEASE = simulation.LIMITS.lease_s
ORDER = simulation.LIMITS.order_s
STAGES = 32  # More than a run from reading the row to giving it back has.


def make_pair(checks_fencing):
    here = simulation.World(checks_fencing)
    first = simulation.Instance(here, ids.InstanceId("i1"))
    second = simulation.Instance(here, ids.InstanceId("i2"))
    first.wish("m@1")
    second.wish("m@2")
    return here, first, second


def test_undisturbed_run_has_fewer_stages_than_are_paused():
    here, first, _ = make_pair(checks_fencing=True)
    stages = 0
    while first.move():
        stages += 1
    assert first.holder.get_pending() is None
    assert here.engine.read_models() == ("m@1",)
    assert 15 <= stages < STAGES


@pytest.mark.parametrize("lost", [False, True], ids=["heard", "lost"])
@pytest.mark.parametrize(
    "pause",
    [LEASE - 2, LEASE + 1, LEASE + ORDER + 1, LEASE * 20],
)
@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
@pytest.mark.parametrize("stage", range(STAGES))
def test_holder_paused_at_every_step_gives_no_order_out_of_turn(
    stage, checks, pause, lost
):
    here, first, second = make_pair(checks)
    for _ in range(stage):
        first.move()
    if lost and first.step and first.stage in ("decided", "sent"):
        if isinstance(first.step, steps.Write):
            first.move()  # The effect happens, its answer is lost.
        first.lose_answer()
    passed = 0.0
    while passed < pause:  # The other goes on while the first is paused.
        while second.move():
            pass
        step = min(1.0, pause - passed)
        here.advance(step)
        passed += step
    first.wish("m@2")  # The paused one hears of the new settings as it wakes.
    simulation.settle(here, [first, second], 200.0, 2.0)
    assert here.engine.read_models() == ("m@2",)


@pytest.mark.parametrize("checks", [True, False], ids=["checks", "ignores"])
def test_order_sent_at_the_end_of_a_lease_lands_before_the_next_holders(
    checks,
):
    here, first, second = make_pair(checks)
    while not isinstance(first.step, steps.SendOrder):
        first.move()
    while second.move():  # The other one counts from here.
        pass
    here.advance(LEASE - 1.5)  # Just before it has to stop.
    first.move()
    assert first.stage == "sent"
    second.wish("m@2")
    simulation.settle(here, [second], 200.0)  # The first stays paused.
    for flight in list(here.in_flight):  # Only a checking engine's is left.
        assert isinstance(here.land(flight).err_value, simulation.edges.Fenced)
    assert here.engine.read_models() == ("m@2",)


@pytest.mark.parametrize(
    ("checks", "wait"), [(True, LEASE), (False, LEASE + ORDER)]
)
def test_next_holder_waits_out_the_old_one(checks, wait):
    here, first, second = make_pair(checks)
    while first.holder.get_fencing() == 0:
        first.move()
    here.advance(5.0)
    simulation.settle(here, [second], wait - 1.0)
    assert second.holder.get_fencing() == 1
    simulation.settle(here, [second], 3.0)
    assert second.holder.get_fencing() == 2


def test_order_without_answer_is_waited_out_before_the_next():
    here, first, _ = make_pair(checks_fencing=False)
    while first.stage != "sent":
        first.move()
    first.lose_answer()  # The order itself may still land.
    first.wish("m@2")
    simulation.settle(here, [first], 60.0)
    applied = [entry[1:4:2] for entry in here.engine.applied]
    assert applied == [(1, "m@1"), (1, "m@1"), (2, "m@2")]


def test_order_refused_for_its_number_makes_the_holder_claim_again():
    here, first, _ = make_pair(checks_fencing=True)
    here.engine.highest = 3  # The table was restored from an older copy.
    simulation.settle(here, [first], 60.0)
    assert here.engine.read_models() == ("m@1",)
    assert here.engine.applied[-1][0] == 3


def test_model_that_a_crash_lost_is_ordered_again_but_not_at_once():
    here, first, _ = make_pair(checks_fencing=True)
    simulation.settle(here, [first], 10.0)
    first.holder.record_models((), first.now())
    simulation.settle(here, [first], 40.0)
    assert len(here.engine.applied) == 1  # The report may yet catch up.
    simulation.settle(here, [first], 30.0)
    assert len(here.engine.applied) == 2


def test_rejected_order_lets_the_next_ones_go_on():
    here, first, _ = make_pair(checks_fencing=True)
    first.wish("bad@1", "m@1")
    apply = here.engine.apply

    def reject_bad(order):
        if order.argument == "bad@1":
            return simulation.result.Err(simulation.edges.Rejected())
        return apply(order)

    here.engine.apply = reject_bad
    simulation.settle(here, [first], 10.0)
    assert here.engine.read_models() == ("m@1",)


def test_lease_given_back_needs_no_wait():
    here, first, second = make_pair(checks_fencing=False)
    simulation.settle(here, [first], 5.0)
    simulation.settle(here, [second], 1.0)
    assert here.engine.applied[-1][:2] == (2, 2)
    row = here.find_row("endpoints/dc1/leases/e1")
    assert b'"holder":""' in row.value


def test_idle_holder_reads_and_writes_nothing():
    here, first, _ = make_pair(checks_fencing=False)
    simulation.settle(here, [first], 5.0)
    before = here.platform.state.read_counts()
    simulation.settle(here, [first], 600.0)
    assert here.platform.state.read_counts() == before


def test_rank_keeps_candidates_from_racing():
    here = simulation.World(checks_fencing=True)
    later = simulation.Instance(here, ids.InstanceId("i2"), rank=1)
    later.wish("m@1")
    simulation.settle(here, [later], 29.0)
    assert here.engine.applied == []
    simulation.settle(here, [later], 5.0)
    assert len(here.engine.applied) == 1


def test_no_more_endpoints_of_a_model_load_at_once_than_its_share():
    names = frozenset(ids.EndpointId(f"e{n}") for n in range(1, 9))
    here = simulation.World(checks_fencing=True, carriers=names)
    key = "endpoints/dc1/loading/m"
    full = b'{"endpoints":["e2","e3"],"format":1}'
    here.put(key, full)
    first = simulation.Instance(here, ids.InstanceId("i1"))
    first.wish("m@1")
    simulation.settle(here, [first], 60.0)
    assert here.engine.applied == []
    assert (
        here.find_row("endpoints/dc1/leases/e1") is None
    )  # Nor does it hold the lease meanwhile.
    gone = b'{"endpoints":["e2","e99"],"format":1}'
    here.put(key, gone)
    simulation.settle(here, [first], 10.0)
    assert here.engine.read_models() == ("m@1",)
    assert here.find_row(key).value.startswith(b'{"endpoints":["e2"]')


class HolderMachine(stateful.RuleBasedStateMachine):
    """Holders, faults of the table and pauses in any order."""

    @stateful.initialize(
        checks=strategies.booleans(), count=strategies.integers(2, 3)
    )
    def begin(self, checks, count):
        self.here = simulation.World(checks)
        self.instances = [
            simulation.Instance(self.here, ids.InstanceId(f"i{n}"))
            for n in range(count)
        ]
        self.wish = ("m@1",)
        for instance in self.instances:
            instance.wish(*self.wish)

    def pick(self, index):
        return self.instances[index % len(self.instances)]

    @stateful.rule(
        index=strategies.integers(0, 2), times=strategies.integers(1, 12)
    )
    def move(self, index, times):
        for _ in range(times):
            self.pick(index).move()

    @stateful.rule(seconds=strategies.sampled_from([0.5, 5, 11, 29, 31, 45]))
    def advance(self, seconds):
        self.here.advance(float(seconds))

    @stateful.rule(
        index=strategies.integers(0, 2),
        fault=strategies.sampled_from(
            ["lose", "lose after", "delay", "refuse", "crash"]
        ),
    )
    def disturb(self, index, fault):
        instance = self.pick(index)
        if fault == "crash":
            instance.start()
        elif not instance.step or instance.stage == "answered":
            return
        elif fault == "delay" and isinstance(instance.step, steps.Write):
            instance.delay_write()
        elif fault == "refuse" and instance.stage == "decided":
            instance.refuse()
        elif fault == "lose after":
            instance.move()
            if instance.stage == "sent":
                instance.lose_answer()
            elif not isinstance(instance.step, steps.SendOrder):
                instance.answer = simulation.LOST
        elif not isinstance(instance.step, steps.SendOrder):
            instance.lose_answer()

    @stateful.rule(version=strategies.integers(1, 4))
    def change_settings(self, version):
        self.wish = (f"m@{version}",)

    @stateful.rule(index=strategies.integers(0, 2))
    def hear_settings(self, index):
        self.pick(index).wish(*self.wish)

    @stateful.rule()
    def let_late_write_land(self):
        if self.here.late_writes:
            self.here.table.commit(self.here.late_writes.pop(0))

    @stateful.rule()
    def let_order_land(self):
        if self.here.in_flight:
            self.here.land(self.here.in_flight[0])

    def teardown(self):
        if not hasattr(self, "here"):
            return
        for instance in self.instances:
            instance.wish(*self.wish)
        simulation.settle(self.here, self.instances, 300.0, 5.0)
        assert self.here.engine.read_models() == self.wish


TestHolderMachine = HolderMachine.TestCase
TestHolderMachine.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
