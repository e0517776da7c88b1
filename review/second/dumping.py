"""A runner in trouble prints into its streams; do they stay complete?"""

import asyncio
import time

from review.second import stand

_CLIENTS = 16
_CALM_S = 1.0
# The runner in trouble spoils every fiftieth of its answers for a while.
_TROUBLE_S = 5.5
_PERIOD = 50
# Events that the runner in trouble has sent before.
_BEFORE = 4
_EVENTS = stand.LAST_EVENT + 1
# Longer than the deadline of any stream.
_HUNG_S = 6.0
# What a program prints as it fails, right behind its next event.
_DUMP = (
    b"fatal error: out of memory while decoding\n"
    b"thread\nid: 4711\nstate: waiting for step\n\n"
)


class _Dumping:
    """Lets a runner print into its streams and hang, once switched on."""

    def __init__(self, record: stand.Record) -> None:
        self.active = False
        self._runner = ""
        self._answered = 0
        self._record = record

    async def answer(
        self,
        runner: stand.Runner,
        attempt: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends some events, then bytes that are none, then nothing more."""
        if not self.active:
            return False
        # The first one that gets a stream is the one in trouble.
        self._runner = self._runner or runner.name
        if runner.name != self._runner:
            return False
        self._answered += 1
        if self._answered % _PERIOD != _PERIOD // 2:
            return False
        writer.write(stand.make_stream_head(attempt))
        pieces = [stand.make_event(attempt, n) for n in range(_BEFORE)]
        pieces.append(stand.make_event(attempt, _BEFORE) + _DUMP)
        for piece in pieces:
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(0.02)
        self._record.add("dumped", runner=runner.name, attempt=attempt)
        await asyncio.sleep(_HUNG_S)
        return True


async def _send(
    client: stand.Client, until: list[float], asked: list[stand.Asked]
) -> None:
    while time.monotonic() < until[0]:
        asked.append(await client.ask("defect", 5.0, 5.6))
        await asyncio.sleep(0.05)


async def _play(record: stand.Record, troubled: bool) -> bool:
    site = stand.Site(record, 2)
    dumping = _Dumping(record)
    asked: list[stand.Asked] = []
    try:
        for _ in range(3):
            await site.add_runner("llm", dumping.answer)
        for _ in range(3):
            await site.add_runner("field", stand.no_trouble)
        await site.start(stand.make_configuration())
        until = [time.monotonic() + _CALM_S + _TROUBLE_S + _CALM_S]
        sending = [
            asyncio.create_task(
                _send(stand.Client(gateway, site), until, asked)
            )
            for gateway in site.gateways
            for _ in range(_CLIENTS)
        ]
        await asyncio.sleep(_CALM_S)
        dumping.active = troubled
        await asyncio.sleep(_TROUBLE_S)
        dumping.active = False
        await asyncio.gather(*sending)
    finally:
        site.stop()
    return _judge(asked, record)


def _judge(asked: list[stand.Asked], record: stand.Record) -> bool:
    """Returns whether each stream that ended as complete has all its events."""
    whole = [each for each in asked if each.ended and each.status == 200]
    broken = 0
    for each in whole:
        events = [stand.make_event(each.attempt, n) for n in range(_EVENTS)]
        missing = [n for n, e in enumerate(events) if e not in each.body]
        twice = [n for n, e in enumerate(events) if each.body.count(e) > 1]
        if missing or twice:
            broken += 1
            record.add(
                "out_of_order",
                attempt=each.attempt,
                missing=missing,
                twice=twice,
                body=each.body.decode(),
            )
    record.add("judged", asked=len(asked), whole=len(whole), broken=broken)
    print(
        f"{len(asked)} streams, {len(whole)} ended as complete, "
        f"{broken} of these with events missing or twice"
    )
    return not broken


if __name__ == "__main__":
    stand.run(_play)
