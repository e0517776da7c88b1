"""Decides which limits are sent to which instances, and when.

Changes are passed on at once. Lost updates are made up for in two ways: a page
of all known limits goes to two instances each second, and an instance that has
just started or was suspended requests all limits.
"""

import collections

from pollenfork.loads import limit_messages
from pollenfork.ratelimits import table

# How often a change is passed on, each time to three instances.
_ROUNDS = 3
# Limits in one datagram, at some 20 bytes each, and the most datagrams sent in
# answer to a request for all limits.
_MAX_PER_DATAGRAM = 50
_MAX_PAGES = 20
_PAGE_S = 1.0
# How often all limits are requested until an instance answers, and for how
# long, in seconds.
_ASK_S = 0.1
_MAX_ASK_S = 5.0
# If this many other instances have just started, all are taken to have.
_MAX_UNINFORMED = 3

Message = limit_messages.LimitUpdates


class Updates:
    """Keeps changes until they have been passed on.

    Attributes:
        informed: Whether other instances have sent the limits they know, or
            have answered that they have just started too.
    """

    def __init__(self, data_centre: str, limits: table.LimitTable) -> None:
        """Starts by requesting all limits known to others.

        Args:
            data_centre: Where this instance runs.
            limits: The limits known here.
        """
        self._data_centre = data_centre
        self._table = limits
        self._rounds: collections.Counter[int] = collections.Counter()
        self._page_at = 0.0
        self._next = 0
        self._ask_at = 0.0
        self._ask_until: float | None = None
        self._asked = False
        self.informed = False
        self._uninformed: set[str] = set()

    def on_change(self, runner: int) -> None:
        """Schedules a changed limit to be passed on."""
        self._rounds[runner] = _ROUNDS

    def request_all(self, now: float) -> None:
        """Requests all limits, as changes may have been missed."""
        self._ask_until = now + _MAX_ASK_S

    def on_answer(self, host: str, informed: bool, others: int) -> None:
        """Notes that another instance has sent limits.

        Args:
            host: The sender.
            informed: Whether the sender has received the limits of others.
            others: The number of other instances.
        """
        if not informed:
            self._uninformed.add(host)
            if len(self._uninformed) >= min(_MAX_UNINFORMED, others):
                self.informed = True
            return
        self.informed = True
        if self._asked:
            self._ask_until = -1.0

    def take_changes(self, now: float) -> Message | None:
        """Returns the changes to pass on now, if any."""
        runners = list(self._rounds)[:_MAX_PER_DATAGRAM]
        self._rounds.subtract(runners)
        self._rounds = +self._rounds
        return self._make_message(runners, now) if runners else None

    def take_page(self, now: float) -> Message | None:
        """Returns the next page of all known limits, when one is due."""
        if now < self._page_at:
            return None
        self._page_at = now + _PAGE_S
        runners = self._table.list_runners()
        if not runners:
            return None
        first = self._next % len(runners)
        self._next = first + _MAX_PER_DATAGRAM
        return self._make_message(
            runners[first : first + _MAX_PER_DATAGRAM], now
        )

    def is_request_due(self, now: float) -> bool:
        """Returns whether to request all limits now."""
        if self._ask_until is None:
            self._ask_until = now + _MAX_ASK_S
        return self._ask_at <= now < self._ask_until

    def take_request(self, now: float) -> Message | None:
        """Returns the request for all limits, when one is due."""
        if not self.is_request_due(now):
            return None
        self._ask_at = now + _ASK_S
        self._asked = True
        return Message(self._data_centre, wants_all=True)

    def list_pages(self, now: float, informed: bool) -> list[Message]:
        """Returns all known limits; one empty message if there are none.

        Args:
            now: Monotonic seconds.
            informed: Whether this instance has received the limits of others.
        """
        runners = self._table.list_runners()[: _MAX_PER_DATAGRAM * _MAX_PAGES]
        return [
            self._make_message(
                runners[first : first + _MAX_PER_DATAGRAM], now, informed
            )
            for first in range(0, max(1, len(runners)), _MAX_PER_DATAGRAM)
        ]

    def _make_message(
        self, runners: list[int], now: float, informed: bool = True
    ) -> Message:
        found = [self._table.export(runner, now) for runner in runners]
        limits = tuple(limit for limit in found if limit is not None)
        return Message(self._data_centre, limits, informed=informed)
