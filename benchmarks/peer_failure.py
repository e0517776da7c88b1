"""Time until the others see a killed, a leaving and a cut-off instance.

Eight real instances in processes of their own, one data centre. In the
partition each half drops what it would send to the other.

    python -m benchmarks.peer_failure
"""

import json
import pathlib
import signal
import time

from benchmarks import peers
from pollenfork.membership import messages
from pollenfork.membership import periods

RESULTS = pathlib.Path(__file__).parent / "results" / "peer_failure.json"
MEMBERS = 8
_JOIN_S = 20.0
_PERIOD_S = periods.compute_heartbeat_s(MEMBERS)
_REMOVED_S = (
    2 * periods.compute_silence_timeout_s(_PERIOD_S)
    + periods.compute_removal_timeout_s(_PERIOD_S)
    + 1.0
)
_HEALED_S = 5.0


def find_times(
    watching: list[peers.Peer], gone: set[str], kind: type, since: float
) -> list[float]:
    """Returns when each watcher saw each of the gone, from `since`."""
    return sorted(
        at - since
        for peer in watching
        for at, event in peer.ask("events")
        if isinstance(event, kind) and event.instance in gone and at >= since
    )


def describe(what: str, times: list[float], expected: int) -> dict[str, object]:
    """Returns one line of the table; all times in milliseconds."""
    return {
        "what": what,
        "seen": f"{len(times)} of {expected}",
        "first_ms": round(times[0] * 1000) if times else None,
        "median_ms": round(times[len(times) // 2] * 1000) if times else None,
        "last_ms": round(times[-1] * 1000) if times else None,
    }


def measure() -> list[dict[str, object]]:
    """Returns the table's lines."""
    names = [(f"amman-1-entry-{n:02d}", "amman-1") for n in range(MEMBERS)]
    running = peers.start(names, MEMBERS)
    try:
        peers.wait_joined(running, _JOIN_S)
        everyone = list(running.values())
        lines = measure_partition(everyone)
        lines += measure_leave(everyone)
        lines += measure_kill(everyone[1:])
        lines += measure_pause(everyone[4:])
    finally:
        peers.stop(running.values())
    return lines


def measure_partition(
    everyone: list[peers.Peer],
) -> list[dict[str, object]]:
    """Four and four are cut off from each other, then healed."""
    halves = everyone[:4], everyone[4:]
    since = time.monotonic()
    for half, other in (halves, halves[::-1]):
        addresses = tuple(peer.address for peer in other)
        for peer in half:
            peer.pipe.send(("cut", addresses))
    time.sleep(_REMOVED_S)
    count = 2 * len(halves[0]) * len(halves[1])
    names = {peer.name for peer in everyone}
    lost = find_times(everyone, names, messages.MemberLost, since)
    since = time.monotonic()
    for peer in everyone:
        peer.pipe.send(("cut", ()))
    time.sleep(_HEALED_S)
    joined = find_times(everyone, names, messages.MemberJoined, since)
    return [
        describe("partition of 4 and 4: lost", lost, count),
        describe("partition healed: joined", joined, count),
    ]


def measure_leave(everyone: list[peers.Peer]) -> list[dict[str, object]]:
    """One of eight leaves."""
    leaver, *others = everyone
    since = time.monotonic()
    leaver.ask("leave")
    time.sleep(1.0)
    gone = {leaver.name}
    times = find_times(others, gone, messages.MemberLeft, since)
    return [describe("leaving: left", times, len(others))]


def measure_kill(everyone: list[peers.Peer]) -> list[dict[str, object]]:
    """Three are killed at once."""
    killed, others = everyone[:3], everyone[3:]
    since = time.monotonic()
    for peer in killed:
        peer.signal(signal.SIGKILL)
    time.sleep(_REMOVED_S)
    gone = {peer.name for peer in killed}
    count = len(killed) * len(others)
    suspected = find_times(others, gone, messages.MemberSuspected, since)
    lost = find_times(others, gone, messages.MemberLost, since)
    return [
        describe("3 killed at once: suspected", suspected, count),
        describe("3 killed at once: lost", lost, count),
    ]


def measure_pause(everyone: list[peers.Peer]) -> list[dict[str, object]]:
    """One is stopped until all have removed it, then continued."""
    paused, *others = everyone
    paused.signal(signal.SIGSTOP)
    time.sleep(_REMOVED_S)
    since = paused.signal(signal.SIGCONT)
    time.sleep(_HEALED_S)
    gone = {paused.name}
    back = find_times(others, gone, messages.MemberJoined, since)
    blamed = find_times(
        [paused],
        {peer.name for peer in others},
        messages.MemberLost,
        since,
    )
    return [
        describe("one paused, awake again: joined", back, len(others)),
        describe("one paused: others it then removed", blamed, 0),
    ]


def main() -> None:
    """Prints the table and writes the results."""
    lines = measure()
    for line in lines:
        print(line, flush=True)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(lines, indent=1) + "\n")


if __name__ == "__main__":
    main()
