"""What the counts of all instances cost the one that acts for all.

Run with `python -m benchmarks.duties_cost`: bytes a second that it hears and
sends, and the part of a core that it takes, by the number of instances.
"""

import random
import sys
import time

from pollenfork import ids
from pollenfork.duties import usage
from pollenfork.gateway import duty_agent
from pollenfork.loads import messages

_WINDOWS = usage.Windows(5.0, 4)
_RATE_EACH = 10.0  # Requests a second at each instance.
_SECONDS = 20
# A datagram's headers, in bytes.
_HEADERS = 28


def main() -> int:
    """Prints a line for each size; returns the exit status."""
    for instances, accounts in ((8, 24), (76, 24), (360, 24), (360, 42_000)):
        heard, sent, core = measure(instances, accounts)
        print(
            f"{instances} instances, {accounts} accounts: hears"
            f" {heard / 1000:.1f} KB/s, sends {sent / 1000:.1f} KB/s,"
            f" {core:.4f} of a core"
        )
    return 0


def measure(instances: int, accounts: int) -> tuple[float, float, float]:
    """Returns bytes heard and sent a second, and the part of a core."""
    rng = random.Random(1)
    names = [ids.AccountId(f"account-{n}") for n in range(accounts)]
    senders = [usage.UsageCounter(_WINDOWS) for _ in range(instances)]
    ledger = usage.UsageAggregator(_WINDOWS)
    period_s = max(
        duty_agent._TALLY_INTERVAL_S,
        instances * duty_agent._TALLY_INTERVAL_EACH_S,
    )
    heard = sent = 0
    spent_s = 0.0
    now = 0.0
    while now < _SECONDS:
        now += period_s
        for number, counted in enumerate(senders):
            for _ in range(round(_RATE_EACH * period_s)):
                counted.record(rng.choice(names), now)
            counted.expire(now)
            told = counted.list_unacknowledged("holder")
            tally = messages.Tally("zone-a", number, told, now, now, now)
            data = messages.encode(tally)
            heard += len(data) + _HEADERS
            begun = time.process_time()
            answer = _take(ledger, data, number, now)
            spent_s += time.process_time() - begun
            sent += len(answer) + _HEADERS
            counted.record_acknowledged(told, "holder", 1)
        begun = time.process_time()
        ledger.expire(now, now)
        spent_s += time.process_time() - begun
    return heard / now, sent / now, spent_s / now


def _take(
    ledger: usage.UsageAggregator, data: bytes, number: int, now: float
) -> bytes:
    tally = messages.decode(data)
    assert isinstance(tally, messages.Tally)
    ledger.receive(f"10.0.0.{number}", tally.start, tally.counted, now, now)
    word = messages.HolderNotice("zone-a", "10.0.0.1", 1, 0.0, now, now)
    return messages.encode(word)


if __name__ == "__main__":
    sys.exit(main())
