"""The judge of streams accepts what rules allow and finds all else."""

from collections.abc import Callable

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import stream_forms
from pollenfork.platform.tests.soak import stream_judge

_LAST = runner.EVENTS - 1
_PATH = "/resume/text"


class Stream(msgspec.Struct):
    """A stream as its caller got it.

    Attributes:
        tries: The tries of its caller.
        pieces: The events of each of them, with the runs that made them.
    """

    tries: list[stream_judge.Try] = []
    pieces: list[list[bytes]] = []

    def add(
        self, runs: list[records.Run], pieces: list[bytes], **options
    ) -> None:
        """Adds a try that goes on behind the ones before."""
        attempt = f"a{len(self.tries)}"
        after = sum(map(len, self.pieces)) - 1
        self.pieces.append(pieces)
        self.tries.append(
            stream_judge.Try(
                attempt,
                _PATH,
                after,
                b"".join(pieces),
                after + len(pieces) == _LAST,
                options.get("resumable", True),
                runs,
            )
        )

    def change(self, number: int, pieces: list[bytes], **changes) -> list[str]:
        """Returns the faults found where one try's events differ."""
        tries = list(self.tries)
        tries[number] = tries[number]._replace(body=b"".join(pieces), **changes)
        return stream_judge.find_faults(tries)


def make_run(attempt: str, number: int, after: int, version="v") -> records.Run:
    run = records.Run(attempt, "i-1", 0.0, "account", _PATH)
    run.id, run.after, run.version = f"r{number}", after, version
    return run


def make_piece(run: records.Run, position: int) -> bytes:
    return runner.make_event(_PATH, run.attempt, position, run.version, run.id)


@strategies.composite
def draw_streams(draw, resumable: bool = True) -> Stream:
    """Returns a stream in order, over some tries, each of some runs."""
    stream = Stream()
    position, number = -1, 0
    ends = strategies.integers(0, _LAST)
    while position < _LAST:
        attempt = f"a{len(stream.tries)}"
        until = max(position, draw(ends)) if resumable else _LAST
        runs: list[records.Run] = []
        pieces: list[bytes] = []
        while position < until or not runs:
            run = make_run(attempt, number, position)
            runs.append(run)
            number += 1
            # A run may have brought nothing.
            goes_on = draw(strategies.integers(0, until - position))
            if not resumable:
                goes_on = until - position
            for _ in range(goes_on):
                position += 1
                pieces.append(make_piece(run, position))
        stream.add(runs, pieces, resumable=resumable)
    return stream


@hypothesis.given(draw_streams())
def test_runs_that_were_asked_for_what_follows_are_accepted(stream) -> None:
    assert stream_judge.find_faults(stream.tries) == []


@hypothesis.given(draw_streams(resumable=False))
def test_one_run_is_accepted(stream) -> None:
    assert stream_judge.find_faults(stream.tries) == []


@hypothesis.given(draw_streams(), strategies.data())
def test_a_try_may_break_off_in_the_middle_of_an_event(stream, data) -> None:
    number = len(stream.tries) - 1
    pieces = stream.pieces[number]
    hypothesis.assume(pieces)
    at = data.draw(strategies.integers(0, len(pieces) - 1))
    length = data.draw(strategies.integers(0, len(pieces[at]) - 1))
    broken = [*pieces[:at], pieces[at][:length]]
    assert stream.change(number, broken, complete=False) == []
    assert stream.change(number, broken, complete=True) != []


def drop(pieces: list[bytes], at: int) -> list[bytes]:
    return pieces[:at] + pieces[at + 1 :]


def repeat(pieces: list[bytes], at: int) -> list[bytes]:
    return pieces[: at + 1] + pieces[at:]


def swap(pieces: list[bytes], at: int) -> list[bytes]:
    return [*pieces[:at], *pieces[at : at + 2][::-1], *pieces[at + 2 :]]


def rename(pieces: list[bytes], at: int) -> list[bytes]:
    renamed = pieces[at].replace(b"id:", b"ix:", 1)
    return [*pieces[:at], renamed, *pieces[at + 1 :]]


def renumber(pieces: list[bytes], at: int) -> list[bytes]:
    moved = pieces[at].replace(b"id: ", b"id: 1", 1)
    return [*pieces[:at], moved, *pieces[at + 1 :]]


def insert_text(pieces: list[bytes], at: int) -> list[bytes]:
    return [*pieces[:at], stream_forms.UNNUMBERED_TEXT, *pieces[at:]]


def append_text(pieces: list[bytes], at: int) -> list[bytes]:
    text = stream_forms.NUMBERED_TEXT
    return [*pieces[: at + 1], text, *pieces[at + 1 :]]


def insert_comment(pieces: list[bytes], at: int) -> list[bytes]:
    return [*pieces[:at], b": end\n\n", *pieces[at:]]


def insert_of_another_request(pieces: list[bytes], at: int) -> list[bytes]:
    other = make_piece(make_run("b0", 99, -1), at)
    return [*pieces[:at], other, *pieces[at + 1 :]]


def make_by_unknown_run(pieces: list[bytes], at: int) -> list[bytes]:
    other = pieces[at].replace(b"/r", b"/r9")
    return [*pieces[:at], other, *pieces[at + 1 :]]


MUTATIONS = [
    drop,
    repeat,
    swap,
    rename,
    renumber,
    insert_text,
    append_text,
    insert_comment,
    insert_of_another_request,
    make_by_unknown_run,
]


# Guards against a judge that passes over what is out of order in broken
# streams, or over bytes that belong to no event.
@pytest.mark.parametrize("mutate", MUTATIONS)
@hypothesis.given(draw_streams(), strategies.data())
def test_what_is_out_of_order_is_found(mutate, stream, data) -> None:
    filled = [n for n, pieces in enumerate(stream.pieces) if pieces]
    number = data.draw(strategies.sampled_from(filled))
    pieces = stream.pieces[number]
    spare = 2 if mutate is swap else 1
    hypothesis.assume(len(pieces) >= spare)
    at = data.draw(strategies.integers(0, len(pieces) - spare))
    is_last_dropped = mutate is drop and at == len(pieces) - 1
    complete = stream.tries[number].complete
    # The caller of a broken stream sees no event missing at its end.
    hypothesis.assume(complete or not is_last_dropped)
    assert stream.change(number, mutate(pieces, at)) != []
    # An earlier end is no excuse for what came before it.
    cut = mutate(pieces, at)[: at + 2]
    if not is_last_dropped and len(cut) == at + 2:
        assert stream.change(number, cut, complete=False) != []


@hypothesis.given(strategies.integers(0, _LAST - 1), strategies.booleans())
def test_a_complete_stream_has_all_events(last, resumable) -> None:
    run = make_run("a0", 0, -1)
    body = b"".join(make_piece(run, p) for p in range(last + 1))
    judged = stream_judge.Try("a0", _PATH, -1, body, True, resumable, [run])
    assert stream_judge.find_faults([judged]) == [
        f"a0: ends as complete behind event {last}; runs: {run}"
    ]


def join(
    later_after: int, change: Callable[[records.Run], None], resumable=True
) -> list[str]:
    """Returns the faults of four events of a run and the rest of another."""
    first, later = make_run("a0", 0, -1), make_run("a0", 1, later_after)
    change(later)
    body = b"".join(make_piece(first, p) for p in range(4))
    body += b"".join(make_piece(later, p) for p in range(4, _LAST + 1))
    return stream_judge.find_faults(
        [
            stream_judge.Try(
                "a0", _PATH, -1, body, True, resumable, [first, later]
            )
        ]
    )


def keep(run: records.Run) -> None:
    pass


def set_version(run: records.Run) -> None:
    run.version = "other"


def test_pieces_of_two_runs_are_joined_only_behind_the_position_asked() -> None:
    assert join(3, keep) == []
    for after in (-1, 0, 2, 4, _LAST):
        assert join(after, keep) != []


def test_pieces_of_two_runs_are_not_joined_on_other_routes() -> None:
    assert join(3, keep, resumable=False) != []


def test_pieces_of_two_versions_are_not_joined() -> None:
    assert join(3, set_version) != []


def test_a_run_that_was_left_does_not_go_on() -> None:
    first, later = make_run("a0", 0, -1), make_run("a0", 1, 0)
    pieces = [make_piece(first, 0), make_piece(later, 1), make_piece(first, 2)]
    judged = stream_judge.Try(
        "a0", _PATH, -1, b"".join(pieces), False, True, [first, later]
    )
    assert stream_judge.find_faults([judged]) != []


def test_tries_of_two_versions_are_found() -> None:
    first, later = make_run("a0", 0, -1), make_run("a1", 1, 0, "other")
    rest = b"".join(make_piece(later, p) for p in range(1, _LAST + 1))
    tries = [
        stream_judge.Try(
            "a0", _PATH, -1, make_piece(first, 0), False, True, [first]
        ),
        stream_judge.Try("a1", _PATH, 0, rest, True, True, [later]),
    ]
    assert stream_judge.find_faults(tries) == ["a0: written by ['other', 'v']"]


@hypothesis.given(strategies.integers(-1, _LAST))
def test_a_try_follows_the_position_that_its_caller_has(after) -> None:
    first, later = make_run("a0", 0, -1), make_run("a1", 1, after)
    rest = b"".join(make_piece(later, p) for p in range(after + 1, _LAST + 1))
    got = make_piece(first, 0) + make_piece(first, 1)
    tries = [
        stream_judge.Try("a0", _PATH, -1, got, False, True, [first]),
        stream_judge.Try("a1", _PATH, after, rest, True, True, [later]),
    ]
    assert (stream_judge.find_faults(tries) == []) == (after == 1)
