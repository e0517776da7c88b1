"""A runner sends small pieces without end; does its gateway stay alive?"""

import asyncio
import time

from review.second import stand

# The smallest machines of the sheet.
_MEMORY_MB = 150
_CLIENTS = 32
_CALM_S = 4.0
# Longer than on the sheet (45 ms), so that fewer clients have requests at
# runners at each moment.
_WORK_S = 0.1
_LENGTH_S = 14.0
_STREAM_TIMEOUT_S = 10.0
# What the runner in trouble sends in answer to a stream, and as no stream of
# events: a token in each chunk.
_TOKEN = b"toke"
_TOKENS_EACH = 2000
_LOOK_S = 0.05
_RESTART_S = 0.5


class _Endless:
    """Answers a single stream with tokens without end, once switched on."""

    def __init__(self, record: stand.Record) -> None:
        self.due = False
        self._record = record

    async def answer(
        self,
        runner: stand.Runner,
        attempt: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends a head, then tokens without end until the caller closes."""
        if not self.due:
            return False
        self.due = False
        self._record.add("endless_begun", runner=runner.name, attempt=attempt)
        framing = "Content-Type: text/plain\r\nTransfer-Encoding: chunked"
        writer.write(stand.make_head(200, attempt, framing))
        chunk = b"%x\r\n%b\r\n" % (len(_TOKEN), _TOKEN)
        sent = 0
        try:
            while not writer.is_closing():
                writer.write(chunk * _TOKENS_EACH)
                sent += _TOKENS_EACH
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self._record.add("endless_ended", runner=runner.name, tokens=sent)
        return True


async def _limit_memory(gateway: stand.Gateway, site: stand.Site) -> None:
    """Ends a process that exceeds its memory, as the platform does."""
    most = 0
    while True:
        await asyncio.sleep(_LOOK_S)
        used = gateway.read_memory()
        if used > most * 1.1:
            most = used
            site.record.add("memory", gateway=gateway.name, bytes=used)
        if used > site.memory_mb * 1_000_000:
            site.record.add("memory_over", gateway=gateway.name, bytes=used)
            gateway.kill()
            await asyncio.sleep(_RESTART_S)
            gateway.start()


async def _send(
    client: stand.Client, kind: str, until: float, asked: list[stand.Asked]
) -> None:
    while time.monotonic() < until:
        if kind == "crew":
            asked.append(await client.ask(kind, _STREAM_TIMEOUT_S, 10.6))
        else:
            asked.append(await client.ask(kind, 1.5, 1.6))
        await asyncio.sleep(0.1)


async def _play(record: stand.Record, troubled: bool) -> bool:
    site = stand.Site(record, 2, _MEMORY_MB)
    site.work_s = _WORK_S
    endless = _Endless(record)
    asked: list[stand.Asked] = []
    watching: list[asyncio.Task[None]] = []
    try:
        for _ in range(3):
            await site.add_runner("llm", endless.answer)
        for _ in range(3):
            await site.add_runner("field", stand.no_trouble)
        configuration = stand.make_configuration()
        configuration["routes"][0]["timeout-ms"] = _STREAM_TIMEOUT_S * 1000
        await site.start(configuration)
        until = time.monotonic() + _CALM_S + _LENGTH_S
        watching = [
            asyncio.create_task(_limit_memory(each, site))
            for each in site.gateways
        ]
        sending = [
            asyncio.create_task(
                _send(stand.Client(gateway, site), kind, until, asked)
            )
            for gateway in site.gateways
            for kind in ["status"] * _CLIENTS + ["crew"] * 2
        ]
        await asyncio.sleep(_CALM_S)
        endless.due = troubled
        await asyncio.gather(*sending)
    finally:
        for task in watching:
            task.cancel()
        site.stop()
    return _judge(asked, site)


def _judge(asked: list[stand.Asked], site: stand.Site) -> bool:
    """Returns whether LOST held, for requests at sound runners."""
    lost = [
        each
        for each in asked
        if each.kind == "status"
        and each.is_kept
        and each.was_cut
        and each.attempt in site.run_attempts
    ]
    site.record.add(
        "judged", asked=len(asked), lost=[each.attempt for each in lost]
    )
    print(
        f"{len(asked)} requests, {len(lost)} on kept channels were passed on "
        "to a sound runner and cut without an answer"
    )
    return len(lost) <= 3


if __name__ == "__main__":
    stand.run(_play)
