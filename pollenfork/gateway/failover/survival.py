"""Confirms answers whose end only that of their connection shows.

A process that is killed has its connections closed in order by the kernel, so
that an answer without a length or chunks looks complete wherever it is cut. It
is believed once its runner is known to have outlived it.
"""

import asyncio

from pollenfork.fleet import model as fleet
from pollenfork.gateway import attempt
from pollenfork.gateway import crash_probes


async def confirm(
    ended: attempt.AttemptResult,
    runner: fleet.Runner,
    probes: crash_probes.CrashProbes,
    limit_s: float,
) -> attempt.AttemptResult:
    """Returns the result of an attempt, with proof of its end or as broken.

    Args:
        ended: The result; returned as it is if it needs no proof.
        runner: The runner, as registered when it was chosen.
        probes: Connect to it.
        limit_s: Seconds that are left; without proof by then it is broken.
    """
    if not ended.is_unconfirmed:
        return ended
    try:
        async with asyncio.timeout(max(0.0, limit_s)):
            return ended.confirm(await probes.is_alive(runner))
    except TimeoutError:
        return ended.confirm(False)
