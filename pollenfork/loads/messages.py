"""Datagrams between instances, as msgpack arrays."""

import enum
from typing import NamedTuple

import msgspec
import xxhash

from pollenfork import ids
from pollenfork import versions
from pollenfork.loads import limit_messages
from pollenfork.loads import reach_messages
from pollenfork.loads import room_messages
from pollenfork.loads import stream_messages


class Address(NamedTuple):
    """Where an instance listens for datagrams."""

    host: str
    port: int


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Active requests at one runner.

    Attributes:
        active: Requests sent to it that have not ended.
        pending_tokens: Their prompt tokens that it has yet to process.
        top_tier: Those of the requests that are of their service's most urgent
            tier.
        held_tokens: KV cache tokens that the requests hold, their
            expected output included; 0: sent by an earlier version.
    """

    active: int = 0
    pending_tokens: int = 0
    top_tier: int = 0
    held_tokens: int = 0


# Loads by a hash of the runner's id: an id is three times as long as a load.
LoadTable = dict[int, Load]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance and its data centre."""

    host: str
    data_centre: str


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """A member as it was last heard of.

    Attributes:
        member: The member.
        age_s: How long ago any instance heard from it, in seconds.
        capacity: How much it can send, in Mbit/s; 0: unknown.
    """

    member: Member
    age_s: float
    capacity: int = 0


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """A new instance requests the list of members."""

    data_centre: str


class Members(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """The answer to `Hello`; relays also send it regularly."""

    members: tuple[Sighting, ...]


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """A shared part of a prompt was cached at a runner, or evicted.

    Attributes:
        part: A hash of the part.
        runner: A hash of the runner.
        kept: Whether the runner caches the part now.
    """

    part: int
    runner: int
    kept: bool = True


class PaceSample(msgspec.Struct, frozen=True, array_like=True):
    """How fast a runner generated one answer.

    Attributes:
        runner: A hash of the runner's incarnation.
        interval_ms: The typical interval between two events of the answer.
    """

    runner: int
    interval_ms: float


class PlannedReturn(msgspec.Struct, frozen=True, array_like=True):
    """A refused caller was told when to return.

    Attributes:
        digest: Identifies the request when it is sent again.
        due_in_ms: Milliseconds from now until it is due.
        tokens: Prompt tokens that it will need.
        tier: Its tier; 0 if sent by an earlier version, which doesn't tell.
    """

    digest: int
    due_in_ms: float
    tokens: int = 0
    tier: ids.Tier = ids.Tier(0)


class TierPressure(msgspec.Struct, frozen=True, array_like=True):
    """A tier of a service waits, so less urgent ones are closed.

    Attributes:
        service: A hash of the service.
        tier: The tier.
        since_ms: For how long it has been pressed, in milliseconds.
        age_ms: How long ago it was last found so, in milliseconds.
    """

    service: int
    tier: ids.Tier
    since_ms: int
    age_ms: int


class Updates(msgspec.Struct, frozen=True, array_like=True):
    """News for all instances that is sent once.

    Attributes:
        paces: Samples of runners' paces.
        returns: Returns that callers were told.
        pressures: Pressed tiers.
    """

    paces: tuple[PaceSample, ...] = ()
    returns: tuple[PlannedReturn, ...] = ()
    pressures: tuple[TierPressure, ...] = ()


class StoreStatus(msgspec.Struct, frozen=True, array_like=True):
    """What an instance knows of the store's tables, and how recent that is.

    Attributes:
        configuration: The store's version of the configuration's last change,
            as numbered in its epoch.
        runners: The same for the runners.
        age_s: Seconds since the configuration was known to be current.
        answered_s: Seconds since the store answered any instance; None: sent
            by an earlier version, which doesn't tell.
        configuration_epoch: The epoch of `configuration`; 0: sent by an
            earlier version, which doesn't tell.
        runners_epoch: The same for `runners`.
        in_force: The operators' version of the configuration in force at the
            sender; 0: none, or sent by an earlier version, which doesn't tell.
    """

    configuration: int
    runners: int
    age_s: float
    answered_s: float | None = None
    configuration_epoch: int = 0
    runners_epoch: int = 0
    in_force: int = 0

    @property
    def configuration_version(self) -> int:
        """The version of the configuration's last change."""
        return versions.combine(self.configuration_epoch, self.configuration)

    @property
    def runners_version(self) -> int:
        """The version of the runners' last change."""
        return versions.combine(self.runners_epoch, self.runners)

    @property
    def versions(self) -> tuple[int, int]:
        """The versions of both tables."""
        return self.configuration_version, self.runners_version


class Report(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """An instance reports its loads to its relay.

    Attributes:
        data_centre: The sender's data centre.
        loads: The requests that it has active.
        placements: Cache placements since its last report.
        sent_at: Its own clock; the relay's answer echoes it.
        urgent: Whether a long prompt is among the changes.
        status: What it knows of the store, if anything: the store may refuse
            all relays but not this instance.
        echo: The `sent_at` of the relay's last answer.
        updates: News of this instance.
        capacity: How much the sender can send, in Mbit/s; 0: unknown.
    """

    data_centre: str
    loads: LoadTable
    placements: tuple[Placement, ...] = ()
    sent_at: float = 0.0
    urgent: bool = False
    status: StoreStatus | None = None
    echo: float = 0.0
    updates: Updates | None = None
    capacity: int = 0


class DataCentreLoads(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A relay sends the other relays the summed loads of its data centre.

    Attributes:
        data_centre: The sender's data centre.
        loads: The requests of its reporters and its own.
        placements: Their cache placements.
        urgent: Whether a long prompt is among the changes.
        sent_at: Its own clock; the receiver's next message echoes it.
        echo: The `sent_at` of the receiver's last message.
        status: What it knows of the store.
        updates: News of the data centre's instances.
    """

    data_centre: str
    loads: LoadTable
    placements: tuple[Placement, ...] = ()
    urgent: bool = False
    sent_at: float = 0.0
    echo: float = 0.0
    status: StoreStatus | None = None
    updates: Updates | None = None


class OtherLoads(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """A relay sends a reporter the summed loads of all other instances.

    Attributes:
        loads: The requests of all others.
        placements: Their cache placements since the last message.
        echo: The `sent_at` of the reporter's last report.
        status: What the relay knows of the store, if anything.
        sent_at: The relay's clock; the reporter's next report echoes it.
        updates: News of other instances.
    """

    loads: LoadTable
    placements: tuple[Placement, ...] = ()
    echo: float = 0.0
    status: StoreStatus | None = None
    sent_at: float = 0.0
    updates: Updates | None = None


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """An instance sends any other what it knows of the store.

    Attributes:
        data_centre: The sender's data centre.
        status: What it knows.
        sent_at: Its own clock; an answer echoes it.
        echo: The `sent_at` of the message that this answers; 0: not an answer.
    """

    data_centre: str
    status: StoreStatus
    sent_at: float = 0.0
    echo: float = 0.0


class Symptom(enum.Enum):
    """What an instance found when it connected to a runner's address."""

    DISPLACED = "d"  # Another runner answers there: this one has ended.
    REFUSED = "r"  # Nothing listens there.
    SILENT = "s"  # No connection was established; the link may be down.


class Finding(msgspec.Struct, frozen=True, array_like=True):
    """What an instance found out about a runner by itself.

    Attributes:
        runner_hash: A hash of the runner's incarnation and its address.
        symptom: What was found.
        age_s: How long ago, in seconds.
        data_centre: The data centre of the instance that found it.
        observer: A hash of that instance's host.
    """

    runner_hash: int
    symptom: Symptom
    age_s: float = 0.0
    data_centre: str = ""
    observer: int = 0


class Findings(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """An instance passes on findings about runners.

    Attributes:
        data_centre: The sender's data centre.
        findings: Its own findings and those of others.
    """

    data_centre: str
    findings: tuple[Finding, ...]


class Departures(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """An instance passes on which runners have announced that they leave.

    Attributes:
        data_centre: The sender's data centre.
        incarnations: Hashes of the runners' incarnations.
    """

    data_centre: str
    incarnations: tuple[int, ...]


class RunnerCrash(msgspec.Struct, frozen=True, array_like=True):
    """A runner crashed while it ran a request.

    Attributes:
        digest: The request's digest.
        runner_hash: A hash of the runner's incarnation and its address.
        sent_ms: How long ago the request was sent there.
        ended_ms: How long ago the runner crashed.
        sender: A hash of the host of the instance that had sent it.
        made_ms: How long ago its connection was established; None: sent by an
            earlier version, which doesn't tell.
    """

    digest: int
    runner_hash: int
    sent_ms: int
    ended_ms: int
    sender: int
    made_ms: int | None = None


class Clearance(msgspec.Struct, frozen=True, array_like=True):
    """A runner has answered a request, or an operator has released it.

    Attributes:
        digest: The request's digest.
        age_ms: How long ago; crashes before that no longer count against it.
        lifted: Whether no runner is known to have answered it.
    """

    digest: int
    age_ms: int
    lifted: bool = False


class Suspicions(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """An instance passes on under which requests runners crashed.

    Attributes:
        data_centre: The sender's data centre.
        crashes: Crashes of runners.
        cleared: Requests known to be harmless.
        wants_all: Whether it requests everything known to the receiver, as it
            may have missed messages.
        quarantined: Digests of requests that the sender itself quarantines.
            Crashes are passed on unverified; for these it has verified them.
    """

    data_centre: str
    crashes: tuple[RunnerCrash, ...] = ()
    cleared: tuple[Clearance, ...] = ()
    wants_all: bool = False
    quarantined: tuple[int, ...] = ()


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests that began to run at an instance in a window of time.

    Attributes:
        window: The window's number.
        counts: The number of requests, by account.
    """

    window: int
    counts: dict[ids.AccountId, int]


class Tally(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """An instance sends the duty holder the requests that it counted.

    Attributes:
        data_centre: The sender's data centre.
        start: Identifies the sender's incarnation.
        counted: Counts that the holder lacks.
        through: Unix seconds up to which the counts are complete.
        wall: The sender's time of day in Unix seconds.
        sent_at: Its monotonic clock; the answer echoes it.
        reported_through: The last window of an uninterrupted sequence that the
            platform has; -1: unknown.
    """

    data_centre: str
    start: int
    counted: tuple[WindowCounts, ...]
    through: float
    wall: float
    sent_at: float
    reported_through: int = -1


class HolderNotice(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Announces the duty holder.

    Attributes:
        data_centre: The sender's data centre.
        holder: The holder's host; empty: no holder is known.
        start: Identifies the sender's incarnation.
        age_s: How long ago the holder itself announced it, in seconds.
        echo: The `sent_at` of the tally that this answers.
        time: The holder's time in Unix seconds; 0: not sent by the holder.
        reported_through: The last window of an uninterrupted sequence that the
            platform has; -1: unknown.
    """

    data_centre: str
    holder: str
    start: int
    age_s: float
    echo: float = 0.0
    time: float = 0.0
    reported_through: int = -1


Message = (
    Hello
    | Members
    | Report
    | DataCentreLoads
    | OtherLoads
    | Gossip
    | Findings
    | Departures
    | Suspicions
    | Tally
    | HolderNotice
    | limit_messages.LimitMessage
    | reach_messages.ReachMessage
    | room_messages.RoomUpdates
    | stream_messages.StreamMessage
)


class Send(msgspec.Struct, frozen=True):
    """A datagram to send."""

    to: Address
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the datagram of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | None:
    """Returns the message of a datagram; None: it can't be decoded."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None


def hash_name(name: bytes) -> int:
    """Returns the hash that identifies a runner or a part in datagrams."""
    return xxhash.xxh32_intdigest(name)
