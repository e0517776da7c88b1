"""Power fails, the store comes back from a copy; are windows reported twice?"""

import asyncio
import json
import time
from typing import Any

from pollenfork.platform.tests.soak import store as stores
from review.second import stand

_CLIENTS = 4
_GATEWAYS = 3
# Usage is reported for windows of five seconds, due ten seconds later.
_WINDOWS_BEFORE = 3
# The copy is this old when the power fails, in seconds.
_COPY_AGE_S = 6.0
_AWAY_S = 1.5
_AFTER_S = 30.0


class _Cloud:
    """The platform's calls; it takes each report and keeps the counts."""

    def __init__(self, record: stand.Record) -> None:
        self.reports: list[dict[str, Any]] = []
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, 8224)

    def stop(self) -> None:
        """Listens no more."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                _, headers = await stand.read_head(reader)
                length = int(headers["content-length"])
                report = json.loads(await reader.readexactly(length))
                self.reports.append(report)
                self._record.add(
                    "reported",
                    holder=headers["x-pollenfork-duty-holder"],
                    token=headers["x-pollenfork-fencing-token"],
                    **report,
                )
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def _send(
    client: stand.Client, until: list[float], asked: list[stand.Asked]
) -> None:
    while time.monotonic() < until[0]:
        asked.append(await client.ask("status", 1.5, 1.5))
        await asyncio.sleep(0.1)


async def _lose_power(
    site: stand.Site, record: stand.Record, copy: stores.Copy
) -> None:
    """All gateways and the store lose power; the store has an older copy."""
    for gateway in site.gateways:
        gateway.kill()
    site.store.mood = stores.Mood.REFUSING
    record.add("power_lost", store_version=copy.version)
    await asyncio.sleep(_AWAY_S)
    site.store.restore(copy)
    await site.store.rewrite()
    site.store.mood = stores.Mood.WELL
    record.add("power_back", era=site.store.era)
    for gateway in site.gateways:
        gateway.start()


async def _play(record: stand.Record, troubled: bool) -> bool:
    site = stand.Site(record, _GATEWAYS, has_duties=True)
    cloud = _Cloud(record)
    asked: list[stand.Asked] = []
    until = [time.monotonic() + 120.0]
    try:
        await cloud.start(f"{site.base}.1")
        for service in ("llm", "llm", "field", "field", "field"):
            await site.add_runner(service, stand.no_trouble)
        await site.start(stand.make_configuration())
        sending = [
            asyncio.create_task(
                _send(stand.Client(gateway, site), until, asked)
            )
            for gateway in site.gateways
            for _ in range(_CLIENTS)
        ]
        async with asyncio.timeout(40.0):
            while len(cloud.reports) < _WINDOWS_BEFORE:
                await asyncio.sleep(0.05)
        copy = site.store.save()
        record.add("copied", store_version=copy.version)
        await asyncio.sleep(_COPY_AGE_S)
        if troubled:
            await _lose_power(site, record, copy)
        until[0] = time.monotonic() + _AFTER_S
        await asyncio.gather(*sending)
    finally:
        site.stop()
        cloud.stop()
    return _judge(cloud, record)


def _judge(cloud: _Cloud, record: stand.Record) -> bool:
    """Returns whether no window was reported with two different counts."""
    known: dict[int, dict[str, int]] = {}
    differing = set()
    for report in cloud.reports:
        counts = known.setdefault(report["window"], report["counts"])
        if counts != report["counts"]:
            differing.add(report["window"])
    record.add("judged", windows=len(known), differing=sorted(differing))
    print(
        f"{len(cloud.reports)} reports of {len(known)} windows, "
        f"{len(differing)} windows with different counts"
    )
    return not differing


if __name__ == "__main__":
    stand.run(_play)
