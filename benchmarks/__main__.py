"""Runs every benchmark, one after the other, then the capacity page.

Usage: python -m benchmarks [NAME ...]

Each writes its JSON into benchmarks/results. They time the machine that they
run on: nothing else should run on it.
"""

import argparse
import subprocess
import sys
import time

NAMES = (
    "startup",
    "relay",
    "accounting",
    "decision_cost",
    "peer_cost",
    "peer_exchange",
    "peer_failure",
    "endpoint_probes",
    "settings_size",
    "settings_spread",
    "ledger_cost",
    "log_cost",
    "capacity",
)


def main() -> int:
    """Runs the benchmarks named, or all; returns how many failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=NAMES)
    failed = 0
    for name in parser.parse_args().names:
        print(f"== {name}", flush=True)
        began = time.monotonic()
        done = subprocess.run(
            [sys.executable, "-m", f"benchmarks.{name}"], check=False
        )
        failed += done.returncode != 0
        print(f"== {name}: {time.monotonic() - began:.0f} s", flush=True)
    return failed


if __name__ == "__main__":
    sys.exit(main())
