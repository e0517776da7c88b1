"""A planned stop while clients are reading whole answers, slowly."""

import asyncio
import pathlib
import random
import signal
import sys
import time

from review.standins import client as clients
from review.standins import site as sites

_GATEWAYS = 2
_RUNNERS = 3
_CLIENTS = 8
_DEADLINE_MS = 10000
# What an answer holds, and how much of it a client reads in a second.
_BYTES = 1_000_000
_BYTES_PER_S = 110_000.0
# When the gateway is told to stop: all answers are complete at their runners.
_STOP_S = 0.5
_FOLDER = pathlib.Path(__file__).parent


async def _play(trouble: bool) -> list[clients.Answer]:
    site = sites.Site(_FOLDER)
    rng = random.Random(73)
    route = sites.make_route(
        "photo",
        "safe",
        "field-api",
        timeout_ms=_DEADLINE_MS,
        target_latency_ms=200,
        priority=2,
        max_attempts=2,
    )
    try:
        await site.start(_GATEWAYS, {"field-api": _RUNNERS}, [route])
        for each in site.runners.values():
            each.body = bytes(range(256)) * (_BYTES // 256)
        gateway = site.gateways[0]
        tasks = []
        for number in range(_CLIENTS):
            asking = clients.Client(
                gateway.ip, rng, site.record.add, _BYTES_PER_S
            )
            call = asking.ask("GET", f"/photo/{number}", _DEADLINE_MS)
            tasks.append(asyncio.create_task(call))
        await asyncio.sleep(_STOP_S)
        if trouble:
            await _stop(site, gateway)
        return await asyncio.gather(*tasks)
    finally:
        site.stop()


async def _stop(site: sites.Site, gateway: sites.Gateway) -> None:
    """Stops a gateway as the platform does, and waits for its end."""
    site.record.add(f"SIGTERM to {gateway.ip}")
    gateway.send(signal.SIGTERM)
    at = time.monotonic()
    while gateway.is_running and time.monotonic() < at + sites.GRACE_S:
        await asyncio.sleep(0.02)
    took_s = time.monotonic() - at
    site.record.add(f"{gateway.ip} has ended by itself after {took_s:.2f} s")
    sys.stdout.write(
        f"the gateway ended {took_s:.2f} s after SIGTERM, "
        f"of {sites.GRACE_S:g} s that it has\n"
    )
    gateway.kill()


def main() -> int:
    """Returns 1 if the rule was broken, 0 if it held, 2 if nothing ran."""
    answers = sites.run(_play(sites.is_troubled()))
    whole = sum(each.whole and each.status == 200 for each in answers)
    cut = [
        each
        for each in answers
        if not each.whole and each.ended - each.sent < _DEADLINE_MS / 1000 - 0.1
    ]
    sys.stdout.write(
        f"{len(answers)} requests, {whole} whole, {len(cut)} cut\n"
    )
    return 1 if cut else 0


if __name__ == "__main__":
    sites.end(main)
