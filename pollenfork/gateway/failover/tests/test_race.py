"""Events of two attempts never mix, in whatever order their bytes arrive."""

import asyncio

import hypothesis
from hypothesis import strategies as st

from pollenfork import ids
from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import attempt
from pollenfork.gateway import connection
from pollenfork.gateway import messages
from pollenfork.gateway.events import progress
from pollenfork.gateway.failover import race
from pollenfork.gateway.tests import support

HEADERS = [
    (b"x-id", b"q"),
    (b"x-seal", b"z"),
    (b"content-type", b"text/events"),
    (b"transfer-encoding", b"chunked"),
]
REQUEST = messages.RequestHead(
    attempt=ids.AttemptId("q"),
    key=None,
    wait_s=None,
    parts=(),
    tokens=(0, 0),
    last_event=None,
    resumes=ids.AttemptId(""),
)
LAST = 6


class Sent:
    """An attempt without a connection, which ends when it is closed."""

    def __init__(self, receiver: attempt.Attempt) -> None:
        self.receiver = receiver
        self.is_closed = False

    @property
    def ended(self):
        done = self.receiver.done
        return done.result() if done.done() else None

    def close(self) -> None:
        self.is_closed = True


class Stream:
    """The rest of a stream, as one runner sends it."""

    def __init__(self, sent: Sent, first: int, sizes: list[int]) -> None:
        self.sent = sent
        self.data = support.write_events(first, LAST)
        self.sizes = list(sizes)
        self.is_over = False

    def send_next(self) -> None:
        """Sends the next bytes, the end, or nothing more."""
        receiver = self.sent.receiver
        if self.sent.is_closed or self.is_over:
            return
        size = self.sizes.pop(0) if self.sizes else len(self.data)
        if self.data:
            receiver.on_body(self.data[:size])
            self.data = self.data[size:]
        else:
            self.is_over = True
            receiver.on_end(connection.EndProof.FRAMING)

    def break_off(self) -> None:
        if not self.sent.is_closed and not self.is_over:
            self.is_over = True
            self.sent.receiver.on_failure(connection.ResponseFailure.RESET)


def make_attempt(loop, relay) -> Sent:
    receiver = attempt.Attempt(
        loop, support.Codec(), REQUEST, relay, lambda: None
    )
    receiver.on_head(200, HEADERS)
    return Sent(receiver)


SIZES = st.lists(st.integers(1, 30), max_size=8)


@hypothesis.given(
    SIZES,
    SIZES,
    st.integers(0, 25),
    st.lists(st.sampled_from(["first", "second", "break"]), max_size=24),
)
def test_the_caller_gets_each_event_once_from_one_attempt(
    first_sizes, second_sizes, begun, steps
) -> None:
    async def run():
        loop = asyncio.get_running_loop()
        written = []
        relay = attempt.StreamRelay(
            progress.StreamProgress(), lambda head: None, written.append
        )
        current = make_attempt(loop, relay)
        first = Stream(current, 0, [23 + begun, *first_sizes])
        # At least one event, and perhaps a part of the next one.
        first.send_next()
        successor = make_attempt(loop, relay)
        second = Stream(successor, relay.progress.last + 1, second_sizes)
        replaced = []
        rivals = race.Race(loop, current, successor, replaced.append)
        for step in steps:
            match step:
                case "first":
                    first.send_next()
                case "second":
                    second.send_next()
                case "break":
                    first.break_off()
        winner = await rivals.run(0.0)
        stream = first if winner is current else second
        loser = successor if winner is current else current
        for _ in range(len(stream.data) + 2):
            stream.send_next()
            (second if stream is first else first).send_next()
        return b"".join(written), winner, loser, current, replaced

    written, winner, loser, current, replaced = asyncio.run(run())
    assert loser.is_closed and not winner.is_closed
    assert bool(replaced) == (winner is not current)
    if winner.ended.end is fleet_messages.End.WHOLE:
        assert written == support.write_events(0, LAST)
    assert support.write_events(0, LAST).startswith(written)
