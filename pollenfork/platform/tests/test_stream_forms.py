"""How runners of the soak send streams, and how they end."""

import asyncio
import random

import hypothesis
from hypothesis import strategies
import pytest

from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import stream_forms

_HOST = "127.18.7.1"
_PORT = 21_700
_PATH = "/stream/text"
# What these do isn't done to the events that were asked for.
_OTHERWISE_SPOILED = {
    stream_forms.Spoil.NONE,
    stream_forms.Spoil.ANEW,
    stream_forms.Spoil.EXTRA,
    stream_forms.Spoil.DECLINED,
}
Spoil = stream_forms.Spoil
End = stream_forms.End

forms = strategies.builds(
    stream_forms.Form,
    spoil=strategies.just(Spoil.NONE),
    at=strategies.integers(0, 9),
    falls_silent=strategies.booleans(),
    unframed=strategies.booleans(),
    grouping=strategies.sampled_from(stream_forms.Grouping),
    seed=strategies.integers(0, 1 << 32),
)


def make_events(after: int) -> list[bytes]:
    return [
        runner.make_event(_PATH, "a0", position, "v1", "r1")
        for position in range(after + 1, runner.EVENTS)
    ]


@hypothesis.given(forms, strategies.integers(-1, 9))
def test_a_whole_stream_is_whole_however_it_is_written(form, after) -> None:
    events = make_events(after)
    writes, end = stream_forms.list_writes(form, events, after)
    assert (b"".join(writes), end) == (b"".join(events), End.WHOLE)


@pytest.mark.parametrize(
    "spoil",
    sorted(set(Spoil) - _OTHERWISE_SPOILED, key=str),
)
@hypothesis.given(forms, strategies.integers(-1, 8))
def test_a_spoiled_stream_is_not_whole(spoil, form, after) -> None:
    events = make_events(after)
    form = form._replace(spoil=spoil)
    # Without its first events, the end of a stream would be empty.
    hypothesis.assume(spoil is not Spoil.LATE or len(events) > 2)
    writes, end = stream_forms.list_writes(form, events, after)
    assert b"".join(writes) != b"".join(events)
    # An orderly close between events of an unframed answer looks like its end.
    if end is End.CLOSE:
        assert not b"".join(writes).endswith(b"\n\n")


async def end_one(end) -> bytes:
    """Returns the events that came before an orderly end.

    Raises:
        ConnectionResetError: The connection was reset.
    """
    made = runner.Runner("i-1", "model", records.Record(), random.Random(1))
    await made.start(_HOST, _PORT)
    reader, writer = await asyncio.open_connection(_HOST, _PORT)
    try:
        writer.write(
            f"POST {_PATH} HTTP/1.1\r\nX-Pollenfork-Expect-Instance: i-1\r\n"
            "X-Pollenfork-Attempt-Id: a0\r\n\r\n".encode()
        )
        await reader.readuntil(b"\n\n")
        end(made)
        return await reader.read()
    finally:
        writer.close()
        made.crash()


# Guards against a runner that resets its connections where a killed process
# leaves their close to the kernel: a gateway takes one for an end, not the
# other.
def test_a_killed_runner_closes_in_order() -> None:
    rest = asyncio.run(end_one(lambda made: made.crash()))
    assert b"id: 9" not in rest


def test_a_runner_resets_its_connections() -> None:
    with pytest.raises(ConnectionResetError):
        asyncio.run(end_one(lambda made: made.reset_connections()))
