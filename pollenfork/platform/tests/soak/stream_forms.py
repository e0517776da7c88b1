"""How a runner sends one stream: whole or spoiled, framed or not."""

import enum
import itertools
import random
import socket
import struct
from typing import NamedTuple

# What a failing program may print between events. The number follows none.
_TEXT = b"Traceback (most recent call last):\n%bValueError: bad token\n\n"
NUMBERED_TEXT = _TEXT % b"id: 4711\n"
UNNUMBERED_TEXT = _TEXT % b""
_NO_LINGER = struct.pack("ii", 1, 0)
_WRONG_BY = 5
# Streams may begin at 0 or 1, so that one event that is missing there can't be
# told.
_MISSING = 2
_MOST_IN_A_WRITE = 3


class Spoil(enum.Enum):
    """What is wrong with an answer."""

    NONE = "whole"
    DUMP = "dump"  # An event, and numbered text in the same write.
    BLANK = "blank"  # The same, without a number.
    FIRST_DUMP = "first"  # Numbered text before the first event.
    FIRST_BLANK = "firstblank"
    RENAMED = "rot"  # A field of an event has another name.
    LOW = "rotlow"  # An event has a number from before.
    HIGH = "rothigh"
    ANEW = "anew"  # It begins anew, whatever position was asked for.
    LATE = "late"  # Its first events are missing.
    CUT = "cut"  # Half an event, and an orderly close.
    RESET = "reset"  # Some events, maybe half a one, and a reset.
    EXTRA = "extra"  # A second answer behind a complete one.
    DECLINED = "declined"  # Another status than 200 for a resumption.


class Grouping(enum.Enum):
    """What a write holds."""

    ONE = "one event"
    SEVERAL = "several events"
    PART = "part of an event"


class End(enum.Enum):
    """What follows the last write of events."""

    WHOLE = "whole"
    CLOSE = "close"
    RESET = "reset"
    SILENT = "silent"


class Form(NamedTuple):
    """How a stream is sent.

    Attributes:
        spoil: What is wrong with it.
        at: The index of the event at which it is spoiled, of those sent.
        falls_silent: Whether nothing follows foreign text.
        unframed: Whether it has neither a length nor chunks.
        grouping: What a write holds.
        seed: Draws where writes are cut.
    """

    spoil: Spoil = Spoil.NONE
    at: int = 0
    falls_silent: bool = False
    unframed: bool = False
    grouping: Grouping = Grouping.ONE
    seed: int = 0

    def __str__(self) -> str:
        """Returns a short text for reports."""
        return self.spoil.value + (" unframed" if self.unframed else "")


PLAIN = Form()


class Forms:
    """Draws how streams are sent."""

    def __init__(
        self,
        rng: random.Random,
        spoiled: float = 0.0,
        unframed: float = 0.0,
        spoils: tuple[Spoil, ...] = tuple(Spoil)[1:],
    ) -> None:
        """Takes the shares of answers, 0 to 1.

        Args:
            rng: Draws.
            spoiled: The share that is spoiled.
            unframed: The share that is unframed.
            spoils: How answers are spoiled.
        """
        self._rng = rng
        self._spoiled = spoiled
        self._unframed = unframed
        self._spoils = spoils

    def draw(self) -> Form:
        """Returns how the next stream is sent."""
        rng = self._rng
        is_spoiled = rng.random() < self._spoiled
        return Form(
            rng.choice(self._spoils) if is_spoiled else Spoil.NONE,
            rng.randrange(10),
            rng.random() < 0.5,
            rng.random() < self._unframed,
            rng.choice(tuple(Grouping)),
            rng.getrandbits(32),
        )


def list_writes(
    form: Form, events: list[bytes], after: int
) -> tuple[list[bytes], End]:
    """Returns the writes of a stream's body, and what follows them.

    Args:
        form: How it is sent.
        events: The events to send.
        after: The position before the first of them.
    """
    rng = random.Random(form.seed)
    pieces, end = _spoil(form, events, after, rng)
    if form.grouping is Grouping.SEVERAL:
        pieces = _join(pieces, rng)
    elif form.grouping is Grouping.PART:
        pieces = [part for piece in pieces for part in _split(piece, rng)]
    return pieces, end


def _spoil(
    form: Form, events: list[bytes], after: int, rng: random.Random
) -> tuple[list[bytes], End]:
    # A resumption without any event looks as if there were none any more.
    if form.spoil is Spoil.LATE and len(events) > _MISSING:
        return events[_MISSING:], End.WHOLE
    if form.spoil in (Spoil.FIRST_DUMP, Spoil.FIRST_BLANK) and events:
        is_numbered = form.spoil is Spoil.FIRST_DUMP
        text = NUMBERED_TEXT if is_numbered else UNNUMBERED_TEXT
        return [text, *events], End.WHOLE
    if events:
        return _spoil_event(form, events, after, rng)
    return [], End.WHOLE


def _spoil_event(
    form: Form, events: list[bytes], after: int, rng: random.Random
) -> tuple[list[bytes], End]:
    at = form.at % len(events)
    before, event, rest = events[:at], events[at], events[at + 1 :]
    position = after + 1 + at
    match form.spoil:
        case Spoil.DUMP | Spoil.BLANK:
            is_numbered = form.spoil is Spoil.DUMP
            event += NUMBERED_TEXT if is_numbered else UNNUMBERED_TEXT
            if form.falls_silent:
                return [*before, event], End.SILENT
        case Spoil.RENAMED:
            event = event.replace(b"id:", b"ix:", 1)
        case Spoil.LOW | Spoil.HIGH:
            is_low = form.spoil is Spoil.LOW and position
            number = 0 if is_low else position + _WRONG_BY
            event = event.replace(b"id: %d\n" % position, b"id: %d\n" % number)
        case Spoil.CUT:
            return [*before, event[: rng.randrange(1, len(event))]], End.CLOSE
        case Spoil.RESET:
            part = event[: rng.randrange(len(event))]
            return [*before, part] if part else before, End.RESET
    return [*before, event, *rest], End.WHOLE


def _join(pieces: list[bytes], rng: random.Random) -> list[bytes]:
    joined = []
    while pieces:
        count = rng.randint(1, _MOST_IN_A_WRITE)
        joined.append(b"".join(pieces[:count]))
        pieces = pieces[count:]
    return joined


def _split(piece: bytes, rng: random.Random) -> list[bytes]:
    if len(piece) == 1:
        return [piece]
    places = {rng.randrange(1, len(piece)) for _ in range(2)}
    cuts = [0, *sorted(places), len(piece)]
    return [piece[a:b] for a, b in itertools.pairwise(cuts)]


def reset(writer) -> None:
    """Resets a connection that isn't being closed."""
    if writer.is_closing():
        return
    sock = writer.get_extra_info("socket")
    # Closing a socket that doesn't linger sends a reset.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
