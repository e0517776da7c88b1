"""The soak's stand-in for the store."""

import asyncio

from pollenfork.platform.tests.soak import store as standin


# Guards against an answer that skips a change: it named the version of a change
# made as its wait ended, and not the row.
def test_a_feed_whose_wait_ends_as_a_row_changes_lists_the_row() -> None:
    async def run():
        store = standin.Store()
        query = {"after-revision": "1", "wait-ms": "20", "table": "op"}
        feed = asyncio.create_task(store._feed(query))
        await asyncio.sleep(0.005)
        async with store._changed:
            put = asyncio.create_task(store.put("op", "config", {}))
            await asyncio.sleep(0.05)
        await put
        return await feed

    status, body = asyncio.run(run())
    assert status == 200
    assert body["row-version"] == 2
    assert [row["key"] for row in body["rows"]] == ["config"]
