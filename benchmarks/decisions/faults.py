"""The fault table: what each row of the results does to the world."""

from collections.abc import Callable
import dataclasses

from benchmarks.decisions import driver
from benchmarks.decisions import engine
from benchmarks.decisions import workload
from pollenfork.dispatch import messages

_FAULT_AT_S = 40.0
_SLOW = 5.0
_HUNG = 1000.0
_DOWN_S = 30.0
_NOTICED_S = 2.0
_PROBE_S = 0.05
_GONE_PART = 0.15

Fault = Callable[[driver.World], None]


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of the fault table."""

    name: str
    load: workload.Load
    fault: Fault | None = None


def slow_one(world: driver.World) -> None:
    """Makes one engine five times as slow."""
    one = world.pick_engine(3)
    world.later(_FAULT_AT_S, lambda: one.set_slowness(_SLOW, world.later.now))


def hang_one(world: driver.World) -> None:
    """Lets an engine accept work and give no token for half a minute."""
    one = world.pick_engine(3)
    end = _FAULT_AT_S + _DOWN_S
    world.later(_FAULT_AT_S, lambda: one.set_slowness(_HUNG, world.later.now))
    world.later(end, lambda: one.set_slowness(1.0, world.later.now))


def plan_too_many_slots(world: driver.World) -> None:
    """Lets the engines batch so much that the gap misses its target."""
    world.set_slots(2 * engine.SLOTS)


def crash_when(low: float, high: float) -> Fault:
    """Crashes an engine when a job there is that far through its answer."""

    def fault(world: driver.World) -> None:
        one = world.pick_engine(2)

        def probe() -> None:
            now = world.later.now
            if any(low <= part <= high for part in one.list_parts(now)):
                crash_one(world, one)
            else:
                world.later(now + _PROBE_S, probe)

        world.later(_FAULT_AT_S, probe)

    return fault


def crash_one(world: driver.World, one: engine.Engine) -> None:
    """Crashes an engine now; it is noticed late and comes back."""
    now = world.later.now
    one.crash(now)
    gone, live = messages.EndpointState.GONE, messages.EndpointState.LIVE
    world.later(now + _NOTICED_S, lambda: world.notify(one.name, gone))
    world.later(now + _DOWN_S, one.restart)
    world.later(now + _DOWN_S + 1.0, lambda: world.notify(one.name, live))


def age_reports(world: driver.World) -> None:
    """Makes every load report five seconds old."""
    world.report_age_s = 5.0


def freeze_reports(world: driver.World) -> None:
    """Makes three engines repeat their report of the moment as fresh."""

    def freeze() -> None:
        frozen = (world.pick_engine(n).name for n in (0, 4, 8))
        world.frozen_reports.update(frozen)

    world.later(_FAULT_AT_S, freeze)


def leave_one(world: driver.World) -> None:
    """Lets an engine leave; only one instance is told, the list lags."""
    one = world.pick_engine(5)

    def leave() -> None:
        one.accepts = False
        leaving = messages.EndpointState.LEAVING
        world.notify_one(0, one.name, leaving, 1.0)

    world.later(_FAULT_AT_S, leave)


def lose_peer(world: driver.World) -> None:
    """Ends one entry instance."""
    world.later(_FAULT_AT_S, lambda: world.lose_instance(1))


def cut_peers(world: driver.World) -> None:
    """Cuts the talk between the instances in two halves, for good."""
    count = len(world.instances)

    def cut() -> None:
        for one in range(count // 2):
            for other in range(count // 2, count):
                world.cut_pairs.add((one, other))

    world.later(_FAULT_AT_S, cut)


def cut_all(world: driver.World) -> None:
    """Cuts every instance off from every other, for good."""
    count = len(world.instances)

    def cut() -> None:
        for one in range(count):
            for other in range(one + 1, count):
                world.cut_pairs.add((one, other))

    world.later(_FAULT_AT_S, cut)


def lose_callers(world: driver.World) -> None:
    """Lets some callers go away within ten seconds."""
    world.gone_part = _GONE_PART


def let_return(world: driver.World) -> None:
    """Lets callers that got nothing come back, twice at most."""
    world.most_returns = 2


def join(*faults: Fault) -> Fault:
    """Returns several faults as one."""

    def fault(world: driver.World) -> None:
        for one in faults:
            one(world)

    return fault


def _burst(kind: str, factor: float) -> workload.Load:
    return workload.Load(0.6, kind, factor)


_MORNING = "morning-reports"
_OVER = workload.Load(1.5)
_NEAR = workload.Load(0.9)

ROWS = (
    Row("load 0.8", workload.Load(0.8)),
    Row("load 1.5", _OVER),
    Row("load 3", workload.Load(3.0)),
    Row("load 2, callers return", workload.Load(2.0), let_return),
    Row("one-class burst 1.5", _burst(_MORNING, 1.5)),
    Row("one-class burst 3", _burst(_MORNING, 3.0)),
    Row("low-class burst 3", _burst("log-summaries", 3.0)),
    Row("mixed dawn burst", _burst(workload.EVERY_KIND, 2.0)),
    Row("straggler 5x", _NEAR, slow_one),
    Row("engine hangs 30 s", _NEAR, hang_one),
    Row("slots planned too high", _OVER, plan_too_many_slots),
    Row("crash before first token", _NEAR, crash_when(0.0, 0.0)),
    Row("crash mid-answer", _NEAR, crash_when(0.4, 0.6)),
    Row("crash at the last event", _NEAR, crash_when(0.98, 1.0)),
    Row("reports 5 s late", _OVER, age_reports),
    Row("reports frozen", _OVER, freeze_reports),
    Row("endpoint leaving, list late", _NEAR, leave_one),
    Row("peer lost", _OVER, lose_peer),
    Row("peers cut in halves", _OVER, cut_peers),
    Row("every instance cut off", _OVER, cut_all),
    Row("callers gone", _OVER, lose_callers),
    Row("straggler and peer lost", _OVER, join(slow_one, lose_peer)),
    Row(
        "crash and late reports", _OVER, join(crash_when(0.4, 0.6), age_reports)
    ),
)
