"""Which instances are told what runners have said, and when.

Changes are passed on as they come; what was missed is repaired by a page of
all that is known, sent to two instances each second, and by whoever has just
started or stood still asking for all of it.
"""

import collections

from pollenfork.loads import limit_messages
from pollenfork.ratelimits import table

# How often a change is passed on, each time to three instances.
_ROUNDS = 3
# Limits in one datagram, at some 20 bytes each, and datagrams for who asks.
_EACH = 50
_PAGES = 20
_PAGE_S = 1.0
# How often all is asked for until somebody answers, and for how long.
_ASK_S = 0.1
_ASKING_S = 5.0
# So many others that have just started show that all have.
_ENOUGH = 3

Message = limit_messages.LimitUpdates


class Updates:
    """Keeps changes until they have been passed on.

    Attributes:
        informed: Whether others have told what they know, or that they have
            just started too.
    """

    def __init__(self, data_centre: str, known: table.Table) -> None:
        """Starts by asking for all that others know.

        Args:
            data_centre: Where this instance runs.
            known: What is known here.
        """
        self._data_centre = data_centre
        self._table = known
        self._rounds: collections.Counter[int] = collections.Counter()
        self._page_at = 0.0
        self._next = 0
        self._ask_at = 0.0
        self._ask_until: float | None = None
        self._asked = False
        self.informed = False
        self._uninformed: set[str] = set()

    def on_change(self, runner: int) -> None:
        """Takes that what is known of a runner has changed."""
        self._rounds[runner] = _ROUNDS

    def ask_again(self, now: float) -> None:
        """Asks for all, as changes may have been missed."""
        self._ask_until = now + _ASKING_S

    def on_answer(self, host: str, informed: bool, others: int) -> None:
        """Takes that another instance has told something.

        Args:
            host: Where it runs.
            informed: Whether it has been told what others know itself.
            others: How many other instances there are.
        """
        if not informed:
            self._uninformed.add(host)
            if len(self._uninformed) >= min(_ENOUGH, others):
                self.informed = True
            return
        self.informed = True
        if self._asked:
            self._ask_until = -1.0

    def take_changes(self, now: float) -> Message | None:
        """Returns the changes to pass on now, if any."""
        runners = list(self._rounds)[:_EACH]
        self._rounds.subtract(runners)
        self._rounds = +self._rounds
        return self._write(runners, now) if runners else None

    def take_page(self, now: float) -> Message | None:
        """Returns the next part of all that is known, when one is due."""
        if now < self._page_at:
            return None
        self._page_at = now + _PAGE_S
        runners = self._table.list_runners()
        if not runners:
            return None
        first = self._next % len(runners)
        self._next = first + _EACH
        return self._write(runners[first : first + _EACH], now)

    def is_asking(self, now: float) -> bool:
        """Returns whether the question for all that is known is due."""
        if self._ask_until is None:
            self._ask_until = now + _ASKING_S
        return self._ask_at <= now < self._ask_until

    def take_question(self, now: float) -> Message | None:
        """Returns the question for all that is known, when one is due."""
        if not self.is_asking(now):
            return None
        self._ask_at = now + _ASK_S
        self._asked = True
        return Message(self._data_centre, wants_all=True)

    def list_pages(self, now: float, informed: bool) -> list[Message]:
        """Returns all that is known; one empty message where it is nothing.

        Args:
            now: Monotonic seconds.
            informed: Whether this instance has been told what others know.
        """
        runners = self._table.list_runners()[: _EACH * _PAGES]
        return [
            self._write(runners[first : first + _EACH], now, informed)
            for first in range(0, max(1, len(runners)), _EACH)
        ]

    def _write(
        self, runners: list[int], now: float, informed: bool = True
    ) -> Message:
        written = [self._table.write(runner, now) for runner in runners]
        told = tuple(limit for limit in written if limit is not None)
        return Message(self._data_centre, told, informed=informed)
