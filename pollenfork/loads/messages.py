"""Datagrams between instances, as msgpack arrays."""

import enum
from typing import NamedTuple

import msgspec
import xxhash

from pollenfork import ids
from pollenfork.loads import limit_messages


class Address(NamedTuple):
    """Where an instance listens for datagrams."""

    host: str
    port: int


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Requests under way at one runner.

    Attributes:
        active: Requests sent to it and not ended.
        pending_tokens: Their prompt tokens that it has yet to process.
        top_tier: Those of them that are of their service's most urgent tier.
    """

    active: int = 0
    pending_tokens: int = 0
    top_tier: int = 0


# Runners by a hash of their id: the ids are three times as long as the rest.
Table = dict[int, Load]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance and its data centre."""

    host: str
    data_centre: str


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """A member, and how long ago somebody heard of it, in seconds."""

    member: Member
    age_s: float


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """A new instance asks whom there is."""

    data_centre: str


class Members(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """The answer to `Hello`, and a relay's regular news."""

    members: tuple[Sighting, ...]


class Placed(msgspec.Struct, frozen=True, array_like=True):
    """A runner was given a shared part of a prompt to read, or lost it.

    Attributes:
        part: A hash of the part.
        runner: A hash of the runner.
        kept: Whether it keeps the part now.
    """

    part: int
    runner: int
    kept: bool = True


class Proof(msgspec.Struct, frozen=True, array_like=True):
    """What an instance knows of the store, and how old that may be.

    Attributes:
        configuration: The store's version of the configuration's last change.
        runners: The store's version of the runners' last change.
        age_s: Seconds since there was proof that the configuration is current.
        answered_s: Seconds since the store answered anyone; None where the
            teller doesn't say, as earlier versions don't.
    """

    configuration: int
    runners: int
    age_s: float
    answered_s: float | None = None


class Report(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """An instance tells its relay what it has under way.

    Attributes:
        data_centre: Where it runs.
        loads: Its own requests.
        placed: What it has placed since its last report.
        sent_at: Its own clock; the relay's answer repeats it.
        urgent: Whether a long prompt is among the news.
        proof: What it knows of the store, if anything: the store may turn
            all relays away and not this one.
        echo: The `sent_at` of the relay's last answer.
    """

    data_centre: str
    loads: Table
    placed: tuple[Placed, ...] = ()
    sent_at: float = 0.0
    urgent: bool = False
    proof: Proof | None = None
    echo: float = 0.0


class Sum(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A relay tells the other relays what its reporters have under way.

    Attributes:
        data_centre: Where it runs.
        loads: Its reporters' requests and its own.
        placed: What they have placed.
        urgent: Whether a long prompt is among the news.
        sent_at: Its own clock; the other's next sum repeats it.
        echo: The `sent_at` of the other's last sum.
        proof: What it knows of the store.
    """

    data_centre: str
    loads: Table
    placed: tuple[Placed, ...] = ()
    urgent: bool = False
    sent_at: float = 0.0
    echo: float = 0.0
    proof: Proof | None = None


class Others(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """A relay tells a reporter what all others have under way.

    Attributes:
        loads: Requests of all others.
        placed: What others have placed since the last time.
        echo: The `sent_at` of the reporter's last report.
        proof: What the relay knows of the store, if anything.
        sent_at: The relay's clock; the reporter's next report repeats it.
    """

    loads: Table
    placed: tuple[Placed, ...] = ()
    echo: float = 0.0
    proof: Proof | None = None
    sent_at: float = 0.0


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """An instance tells any other what it knows of the store.

    Attributes:
        data_centre: Where it runs.
        proof: What it knows.
        sent_at: Its own clock; an answer repeats it.
        echo: The `sent_at` of what it answers; 0 where it asks.
    """

    data_centre: str
    proof: Proof
    sent_at: float = 0.0
    echo: float = 0.0


class Sign(enum.Enum):
    """What a runner's address has shown an instance."""

    DISPLACED = "d"  # Another runner answers there: this one is gone.
    REFUSED = "r"  # Nobody listens there.
    SILENT = "s"  # No connection came about; the way may be cut.


class Finding(msgspec.Struct, frozen=True, array_like=True):
    """What an instance has found out of a runner by itself.

    Attributes:
        place: A hash of the runner's start and its address.
        sign: What was found.
        age_s: How long ago, in seconds.
        data_centre: Where the instance runs that found it.
        witness: A hash of that instance's host.
    """

    place: int
    sign: Sign
    age_s: float = 0.0
    data_centre: str = ""
    witness: int = 0


class Findings(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """An instance passes on what was found out of runners.

    Attributes:
        data_centre: Where it runs.
        found: What it or others have found.
    """

    data_centre: str
    found: tuple[Finding, ...]


class RunnerEnd(msgspec.Struct, frozen=True, array_like=True):
    """A runner ended while it ran a request.

    Attributes:
        digest: The request's.
        place: A hash of the runner's start and its address.
        sent_ms: How long ago the request was sent there.
        ended_ms: How long ago the runner ended.
        witness: A hash of the host of the instance that had sent it.
        made_ms: How long ago its connection was made; None where the teller
            doesn't say, as earlier versions don't.
    """

    digest: int
    place: int
    sent_ms: int
    ended_ms: int
    witness: int
    made_ms: int | None = None


class Clearance(msgspec.Struct, frozen=True, array_like=True):
    """A runner has answered a request, or an operator vouches for it.

    Attributes:
        digest: The request's.
        age_ms: How long ago; ends before that no longer speak against it.
        lifted: Whether no runner has answered it, as far as is known.
    """

    digest: int
    age_ms: int
    lifted: bool = False


class Suspicions(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """An instance passes on which requests runners ended under.

    Attributes:
        data_centre: Where it runs.
        ends: Ends of runners.
        cleared: Requests that are known to be well.
        asks: Whether it wants to be told all, as it may have missed some.
        kept: Digests of requests that it keeps back itself. News is passed on
            unchecked; for these it stands.
    """

    data_centre: str
    ends: tuple[RunnerEnd, ...] = ()
    cleared: tuple[Clearance, ...] = ()
    asks: bool = False
    kept: tuple[int, ...] = ()


class Counted(msgspec.Struct, frozen=True, array_like=True):
    """Requests that began to run at an instance in a window of time.

    Attributes:
        window: The window's number.
        counts: How many, by account.
    """

    window: int
    counts: dict[ids.AccountId, int]


class Tally(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """An instance tells the holder of the duties what it has counted.

    Attributes:
        data_centre: Where it runs.
        start: Tells its starts apart.
        counted: Counts that the holder doesn't have.
        through: Unix seconds up to which it has told all.
        wall: Its own time of day in Unix seconds.
        sent_at: Its own clock; the answer repeats it.
    """

    data_centre: str
    start: int
    counted: tuple[Counted, ...]
    through: float
    wall: float
    sent_at: float


class HolderWord(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Says who holds the duties.

    Attributes:
        data_centre: Where the teller runs.
        holder: The holder's host; empty: nobody is known to.
        start: Tells the starts of the teller apart.
        age_s: How long ago the holder itself said so, in seconds.
        echo: The `sent_at` of the tally that this answers.
        time: Unix seconds as the holder has them; 0 where another one tells.
    """

    data_centre: str
    holder: str
    start: int
    age_s: float
    echo: float = 0.0
    time: float = 0.0


Message = (
    Hello
    | Members
    | Report
    | Sum
    | Others
    | Gossip
    | Findings
    | Suspicions
    | Tally
    | HolderWord
    | limit_messages.LimitMessage
)


class Send(msgspec.Struct, frozen=True):
    """A datagram to send."""

    to: Address
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message as a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | None:
    """Returns a datagram's message; None where it is none."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None


def hash_name(name: bytes) -> int:
    """Returns what stands for a runner or a part in datagrams."""
    return xxhash.xxh32_intdigest(name)
