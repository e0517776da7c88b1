"""Switches each mechanism of the gateways off, to measure what it is worth.

    python -m benchmarks.ablations COPY NAME

makes the gateway of a scratch copy of the repository start with one of them
switched off; days played with that copy are compared with the same days
played with an unchanged one. The product itself has no such switches.
"""

from collections.abc import Callable
import pathlib
import sys
from typing import Any, NamedTuple

from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import copies
from pollenfork.fleet import costs
from pollenfork.fleet import evidence
from pollenfork.fleet import retry_budget
from pollenfork.fleet import runner_state
from pollenfork.gateway import cache_feed
from pollenfork.gateway import peers
from pollenfork.gateway import timeouts
from pollenfork.gateway.shedding import limits as shedding_limits
from pollenfork.loads import gossip
from pollenfork.loads import messages as loads

_NEVER = 1e9
_ENTRY = pathlib.Path("pollenfork/platform/__main__.py")
_GUARD = 'if __name__ == "__main__":\n'


class Switch(NamedTuple):
    """What takes a mechanism's place.

    Attributes:
        owner: The module or class that holds it.
        name: Its name there.
        instead: What stands there when it is off.
    """

    owner: Any
    name: str
    instead: Any


def _do_nothing(*given: object, **named: object) -> None:
    """Takes anything, does nothing."""


def _give(found: object) -> Callable[..., object]:
    return lambda *given, **named: found


SWITCHES: dict[str, tuple[Switch, ...]] = {
    "none": (),
    "runners-kept-apart": (
        Switch(candidates, "reserve_runners", lambda demand, found: found),
    ),
    "early-refusals": (
        Switch(shedding_limits, "find_prefill_limit", _do_nothing),
    ),
    "news-of-caches": (Switch(cache_feed.CacheFeed, "check", _do_nothing),),
    "shared-placements": (
        Switch(choice.Chooser, "take_placements", _give([])),
    ),
    "homes-by-hashing": (Switch(candidates, "_find_hash_owner", _do_nothing),),
    "copies-of-prompts": (Switch(copies, "find_sources", _do_nothing),),
    "weight-in-a-crowd": (Switch(candidates, "_BACKLOG_MOVE_WEIGHT", 0.0),),
    "weight-of-a-move": (Switch(candidates, "_MOVE_WEIGHT", 1.0),),
    "loads-of-others": (
        Switch(peers.Peers, "read_others", _give(loads.Load())),
    ),
    "long-prompts-told-at-once": (
        Switch(peers.Peers, "announce_soon", _do_nothing),
    ),
    "findings-of-others": (
        Switch(evidence.Evidence, "take_findings", _give([])),
    ),
    "gossip-of-the-store": (Switch(gossip.Gossip, "tick", _give([])),),
    "room-in-kept-apart-slots": (
        Switch(candidates, "_RESERVED_SLOT_SHARE", _NEVER),
    ),
    "pauses-after-failures": (
        Switch(costs, "_find_back_off_cost", _give(0.0)),
    ),
    "rate-of-failures": (Switch(costs, "_find_rate_cost", _give(0.0)),),
    "out-of-reach": (Switch(runner_state, "_UNREACHABLE_FAILURES", _NEVER),),
    "repeats": (Switch(retry_budget.RetryBudget, "try_take", _give(False)),),
    "patience": (
        Switch(timeouts, "_FIRST_RESPONSE_FACTOR", _NEVER),
        Switch(timeouts, "_GAP_FACTOR", _NEVER),
    ),
}


def switch_off(mechanism: str) -> None:
    """Switches a mechanism off in this process."""
    for switch in SWITCHES[mechanism]:
        setattr(switch.owner, switch.name, switch.instead)


def prepare(copy: pathlib.Path, mechanism: str) -> None:
    """Makes a scratch copy's gateway start without a mechanism."""
    entry = copy / _ENTRY
    before, _, _ = entry.read_text().partition(_GUARD)
    lines = [
        _GUARD,
        "    from benchmarks import ablations\n\n",
        f'    ablations.switch_off("{mechanism}")\n',
        "    sys.exit(main())\n",
    ]
    entry.write_text(before + "".join(lines))


if __name__ == "__main__":
    prepare(pathlib.Path(sys.argv[1]), sys.argv[2])
