"""Streams reach callers in order and whole, whatever a runner sends."""

import asyncio

import pytest

from pollenfork.platform.tests.soak import spoiled

SEED = 85
# A program's last words, in the middle of a stream.
NUMBERED = b"fatal error: out of memory\nthread\nid: 4711\nstate: waiting\n\n"
UNNUMBERED = b"fatal error: out of memory\nthread 7\n\n"


async def dump(runner, run, words, with_event=True) -> bool:
    run.begin()
    for position in range(run.after + 1, spoiled.BEFORE):
        await run.write(run.make(position, position + 1))
    event = run.make(spoiled.BEFORE, spoiled.BEFORE + 1)
    if not with_event:
        await run.write(event)
        event = b""
    await run.write(event + words)
    return False


async def dump_numbered(runner, run) -> bool:
    return await dump(runner, run, NUMBERED)


async def dump_unnumbered(runner, run) -> bool:
    return await dump(runner, run, UNNUMBERED)


async def dump_alone(runner, run) -> bool:
    return await dump(runner, run, UNNUMBERED, with_event=False)


async def begin_with_words(runner, run) -> bool:
    run.begin()
    await run.write(NUMBERED + run.make(run.after + 1))
    return False


async def begin_late(runner, run) -> bool:
    run.begin()
    await run.write(run.make(run.after + 3))
    run.writer.write(b"0\r\n\r\n")
    return True


async def begin_from_zero(runner, run) -> bool:
    run.begin()
    await run.write(run.make(0))
    run.writer.write(b"0\r\n\r\n")
    return True


async def end_unframed_as_killed(runner, run) -> bool:
    run.begin(framed=False)
    for position in range(run.after + 1, spoiled.BEFORE):
        await run.write(run.make(position, position + 1), framed=False)
    runner.end_as_killed()
    return False


def play(tmp_path, script, **options) -> list:
    return asyncio.run(spoiled.play(SEED, tmp_path, script, **options))


# Guards against events that count as forwarded though their read was dropped,
# and against bytes that are no event but reach callers.
@pytest.mark.parametrize("kind", ["resume", "stream"])
@pytest.mark.parametrize(
    "script", [dump_numbered, dump_unnumbered, dump_alone, begin_with_words]
)
def test_bytes_that_are_no_event_reach_no_caller(
    script, kind, tmp_path
) -> None:
    asked = play(tmp_path, script, kind=kind)
    assert spoiled.find_disorder(asked) == []
    if kind == "resume":
        assert all(each.status == 200 and each.whole for each in asked)
    else:
        assert all(each.status == 502 or not each.whole for each in asked)


# Guards against a first position that is taken from the runner.
@pytest.mark.parametrize("after", [None, 3])
@pytest.mark.parametrize("script", [begin_late, begin_from_zero])
def test_a_run_begins_at_the_position_asked(script, after, tmp_path) -> None:
    asked = play(tmp_path, script, after=after)
    assert spoiled.find_disorder(asked, after) == []
    assert all(each.status == 200 and each.whole for each in asked)


# Guards against a killed runner's stream that looks complete, as a killed
# process closes its connections in order.
@pytest.mark.parametrize("kind", ["resume", "stream"])
def test_an_unframed_stream_of_a_killed_runner_is_not_complete(
    kind, tmp_path
) -> None:
    asked = play(tmp_path, end_unframed_as_killed, kind=kind, requests=3)
    assert spoiled.find_disorder(asked) == []
