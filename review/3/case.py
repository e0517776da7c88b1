"""A sound runner falls silent for a moment while it sends streams."""

import asyncio
import pathlib
import random
import signal
import sys
import time

from review import client as clients
from review import site as sites

_GATEWAYS = 2
_RUNNERS = 4
_STREAMS = 60
_SILENT_S = 1.2
# As the site has it for its `defect-report`: timeout, aims and attempts too.
_DEADLINE_MS = 5000
_FOLDER = pathlib.Path(__file__).parent


async def _play(trouble: bool) -> list[clients.Answer]:
    site = sites.Site(_FOLDER)
    rng = random.Random(73)
    route = sites.make_route(
        "defect",
        "stream",
        "lm-fleet",
        timeout_ms=5000,
        target_latency_ms=500,
        target_gap_ms=300,
        priority=1,
        max_attempts=2,
        stream_resume=True,
        session_affinity=True,
    )
    looking = sites.make_route(
        "status",
        "safe",
        "lm-fleet",
        timeout_ms=1500,
        target_latency_ms=200,
        priority=2,
        max_attempts=2,
    )
    try:
        await site.start(_GATEWAYS, {"lm-fleet": _RUNNERS}, [route, looking])
        asking = [
            clients.Client(
                site.gateways[number % _GATEWAYS].ip, rng, site.record.add
            )
            for number in range(_STREAMS)
        ]
        for number, each in enumerate(asking):
            await each.ask("GET", f"/status/{number}", 1500)
        if trouble:
            site.record.add("SIGHUP")
            for gateway in site.gateways:
                gateway.send(signal.SIGHUP)
        tasks = []
        for number, each in enumerate(asking):
            call = each.ask(
                "POST",
                f"/defect/{number}",
                _DEADLINE_MS,
                clients.make_prompt(rng),
            )
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(0.02)
        if trouble:
            await asyncio.sleep(0.5)
            busiest = max(site.runners.values(), key=lambda r: r.streaming)
            busiest.silent_until = time.monotonic() + _SILENT_S
            site.record.add(
                f"{busiest.name}: silent for {_SILENT_S} s, "
                f"{busiest.streaming} streams run"
            )
        return await asyncio.gather(*tasks)
    finally:
        site.stop()


def main() -> int:
    """Returns 1 if the rule was broken, 0 if it held, 2 if nothing ran."""
    trouble = sites.is_troubled()
    answers = sites.run(_play(trouble))
    cut = [
        each
        for each in answers
        if each.kept
        and not each.whole
        and each.ended - each.sent < _DEADLINE_MS / 1000.0 - 0.1
    ]
    whole = sum(each.whole and each.status == 200 for each in answers)
    sys.stdout.write(f"{len(answers)} streams, {whole} whole, {len(cut)} cut\n")
    if not whole:
        return 2
    return 1 if len(cut) > 3 else 0


if __name__ == "__main__":
    sites.end(main)
