"""Decides which instance tells which other what; sends nothing itself.

Each instance reports to one relay of its data centre; the relays exchange
their sums, and each tells its reporters what all others have under way. So
an instance hears one datagram a period at any size, and only the relays'
sums cross between data centres.
"""

from collections.abc import Iterable

import msgspec

from pollenfork.loads import members
from pollenfork.loads import messages

# How often loads are told while they change, in seconds. The shortest answer
# of a model takes some 50 ms; older news than that places short requests
# behind long prompts.
PERIOD_S = 0.05
# A relay's work in a period grows with reporters and runners; past this many
# pairs the period grows with them, which keeps it under 3% of a core.
_PAIRS = 1500
# Unchanged loads are told again this often, as datagrams get lost.
_REPEAT_S = 0.4
_MEMBERS_S = 1.0
_HELLO_S = 0.5
# What was told this long ago no longer counts, in seconds.
_EXPIRY_S = 1.3


class _Heard(msgspec.Struct):
    """What another instance has told."""

    loads: messages.Table
    at: float


class _Told(msgspec.Struct):
    """What was last told to an address."""

    loads: messages.Table
    at: float


class Exchange:
    """The exchange of loads, at one instance."""

    def __init__(
        self,
        me: messages.Address,
        data_centre: str,
        seeds: Iterable[messages.Address],
    ) -> None:
        """Starts alone.

        Args:
            me: Where this instance listens; ports are alike everywhere.
            data_centre: Where it runs.
            seeds: Instances that may know others.
        """
        self._me = me
        self._data_centre = data_centre
        self._seeds = [seed for seed in seeds if seed.host != me.host]
        self._roster = members.Roster(messages.Member(me.host, data_centre))
        self._own: messages.Table = {}
        self._reports: dict[str, _Heard] = {}
        self._sums: dict[str, _Heard] = {}
        self._others = _Heard({}, 0.0)
        self._told: dict[tuple[str, str], _Told] = {}
        self._hello_at = 0.0
        self._members_at = 0.0
        self._due_at = 0.0

    @property
    def instances(self) -> int:
        """The number of instances known, this one included."""
        return self._roster.size

    def read_others(self, now: float) -> messages.Table:
        """Returns what all other instances have under way."""
        if self._is_relay(now):
            return self._add_up(now, leave_out=None)
        if now - self._others.at > _EXPIRY_S:
            return {}
        return self._others.loads

    def tick(self, own: messages.Table, now: float) -> list[messages.Send]:
        """Returns what to send; call it once a period.

        Args:
            own: What this instance has under way.
            now: Monotonic seconds.
        """
        if now < self._due_at:
            return []
        self._own = own
        self._expire(now)
        sends = self._greet(now)
        relay = self._roster.find_relay(self._data_centre, now)
        if relay is not None and relay != self._me.host:
            report = messages.Report(self._data_centre, own)
            sends += self._tell(relay, "report", report, own, now)
            self._roster.note_asked(relay, now)
        if self._is_relay(now):
            sends += self._relay(now)
        self._due_at = now + self._find_period()
        return sends

    def hear(
        self, message: messages.Message, host: str, now: float
    ) -> list[messages.Send]:
        """Takes a message; returns what to answer."""
        match message:
            case messages.Hello():
                self._note(host, message.data_centre, now)
                known = messages.Members(self._roster.list_sightings(now))
                return [self._address(host, known)]
            case messages.Members():
                for each in message.members:
                    self._roster.note(each.member, now - each.age_s)
            case messages.Report():
                self._note(host, message.data_centre, now)
                self._reports[host] = _Heard(message.loads, now)
            case messages.Sum():
                self._note(host, message.data_centre, now)
                self._roster.note_answer(host)
                self._sums[host] = _Heard(message.loads, now)
            case messages.Others():
                self._roster.note_answer(host)
                self._others = _Heard(message.loads, now)
        return []

    # Relaying.

    def _is_relay(self, now: float) -> bool:
        relay = self._roster.find_relay(self._data_centre, now)
        return relay == self._me.host or bool(self._reports or self._sums)

    def _relay(self, now: float) -> list[messages.Send]:
        sends = []
        here = self._sum_here(now)
        told = messages.Sum(self._data_centre, here)
        for host in self._list_relays(now):
            sends += self._tell(host, "sum", told, here, now)
            self._roster.note_asked(host, now)
        for host in self._reports:
            others = self._add_up(now, leave_out=host)
            sends += self._tell(
                host, "others", messages.Others(others), others, now
            )
        return sends + self._tell_members(now)

    def _list_relays(self, now: float) -> list[str]:
        found = {host for host in self._sums if host != self._me.host}
        for data_centre in self._roster.list_elsewhere():
            relay = self._roster.find_relay(data_centre, now)
            if relay is not None:
                found.add(relay)
        return sorted(found)

    def _tell_members(self, now: float) -> list[messages.Send]:
        if now < self._members_at:
            return []
        self._members_at = now + _MEMBERS_S
        told = messages.Members(self._roster.list_sightings(now))
        hosts = {*self._reports, *self._list_relays(now)}
        return [self._address(host, told) for host in sorted(hosts)]

    def _sum_here(self, now: float) -> messages.Table:
        relay = self._roster.find_relay(self._data_centre, now)
        tables = [heard.loads for heard in self._reports.values()]
        # An instance that reports elsewhere is counted there.
        if relay == self._me.host:
            tables.append(self._own)
        return _add(tables)

    def _add_up(self, now: float, leave_out: str | None) -> messages.Table:
        """Returns all loads but those of one host, or of this instance."""
        tables = [heard.loads for heard in self._sums.values()]
        tables += [
            heard.loads
            for host, heard in self._reports.items()
            if host != leave_out
        ]
        if leave_out is not None:
            tables.append(self._own)
        return _add(tables)

    # Telling.

    def _greet(self, now: float) -> list[messages.Send]:
        if self._roster.size > 1 or now < self._hello_at:
            return []
        self._hello_at = now + _HELLO_S
        hello = messages.Hello(self._data_centre)
        return [messages.Send(seed, hello) for seed in self._seeds]

    def _tell(
        self,
        host: str,
        kind: str,
        message: messages.Message,
        loads: messages.Table,
        now: float,
    ) -> list[messages.Send]:
        told = self._told.get((host, kind))
        if told and told.loads == loads and now - told.at < _REPEAT_S:
            return []
        self._told[host, kind] = _Told(loads, now)
        return [self._address(host, message)]

    def _address(self, host: str, message: messages.Message) -> messages.Send:
        to = messages.Address(host, self._me.port)
        return messages.Send(to, message)

    def _note(self, host: str, data_centre: str, now: float) -> None:
        self._roster.note(messages.Member(host, data_centre), now)

    def _expire(self, now: float) -> None:
        for heard in (self._reports, self._sums):
            for host, each in list(heard.items()):
                if now - each.at > _EXPIRY_S:
                    del heard[host]
        self._roster.forget(now)

    def _find_period(self) -> float:
        runners = max(
            (len(each.loads) for each in self._sums.values()),
            default=len(self._own),
        )
        pairs = len(self._reports) * runners
        return PERIOD_S * max(1.0, pairs / _PAIRS)


def _add(tables: list[messages.Table]) -> messages.Table:
    total: messages.Table = {}
    for table in tables:
        for runner, load in table.items():
            known = total.get(runner)
            if known is not None:
                load = messages.Load(
                    known.active + load.active, known.reading + load.reading
                )
            total[runner] = load
    return total
