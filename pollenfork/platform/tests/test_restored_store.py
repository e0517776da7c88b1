"""A gateway whose store comes back from an older copy."""

import asyncio
import json

from pollenfork.catalogue import changes
from pollenfork.platform import rows
from pollenfork.platform.tests import support
from pollenfork.platform.tests import test_gateway as harnesses
from pollenfork.platform.tests.soak import site as sites

# Changes before the drill, so that the restored store's versions are lower than
# the known ones for longer than a change may take.
_LOST_CHANGES = 20


async def lose_changes(harness: harnesses.Harness) -> None:
    """Writes what the restored store will not have."""
    for number in range(_LOST_CHANGES):
        await harness.store.put("op", f"other-{number}", {})


async def wait_for_status(harness, key: str, status: int) -> None:
    async with asyncio.timeout(sites.APPLY_S):
        while (await harness.caller.ask("unsafe", key)).status != status:
            await asyncio.sleep(0.01)


# Guards against taking a restored store's lower versions for older ones: the
# configurations written since were in force 3 s late, or never.
def test_a_configuration_written_after_a_restoration_is_in_force() -> None:
    async def run():
        async with harnesses.run_harness() as harness:
            await harness.configure(1, key="account", lost="account")
            await harness.register()
            await harness.wait_ready()
            copy = harness.store.save()
            await lose_changes(harness)
            await asyncio.sleep(1.0)
            harness.store.restore(copy)
            await harness.configure(2, key="account", new="account")
            await wait_for_status(harness, "new", 200)
            await wait_for_status(harness, "lost", 401)

    asyncio.run(run())


# Guards against work for a runner that has left, by an entry of the copy that
# says otherwise.
def test_a_leaving_runner_stays_out_though_the_copy_says_ready() -> None:
    async def run():
        async with harnesses.run_harness() as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            copy = harness.store.save()
            leaving = support.make_entry(
                "model", "127.0.0.1:1", state="draining", sequence=2
            )
            await harness.store.put("servers", "i-1", leaving)
            await lose_changes(harness)
            await wait_for_status(harness, "key", 503)
            before = len(harness.record.runs)
            harness.store.restore(copy)
            await harness.configure(2, key="account")
            statuses = []
            for _ in range(30):
                answer = await harness.caller.ask("unsafe", "key")
                statuses.append(answer.status)
                await asyncio.sleep(0.05)
            return statuses, len(harness.record.runs) - before

    statuses, ran = asyncio.run(run())
    assert set(statuses) == {503}
    assert ran == 0


# Guards against work for a runner whose leaving is written after a restoration,
# below the versions known before.
def test_a_leaving_after_a_restoration_is_known_in_time() -> None:
    async def run():
        async with harnesses.run_harness() as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            copy = harness.store.save()
            await lose_changes(harness)
            await asyncio.sleep(1.0)
            harness.store.restore(copy)
            leaving = support.make_entry(
                "model", "127.0.0.1:1", state="draining", sequence=2
            )
            await harness.store.put("servers", "i-1", leaving)
            await wait_for_status(harness, "key", 503)

    asyncio.run(run())


def test_a_row_that_must_be_absent_is_a_condition_on_version_0() -> None:
    key = changes.Key(changes.Table.DUTIES, "epoch-2")
    body = json.loads(rows.encode_change(changes.Change(absent=(key,))))
    assert body["precondition"] == [
        {"table": "duties", "part": "", "key": "epoch-2", "row-version": 0}
    ]
