"""Calls to the platform that the duty holder makes."""

import asyncio
import collections
from collections.abc import Callable
import logging
from typing import TYPE_CHECKING

from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.gateway import client
from pollenfork.gateway import edges
from pollenfork.gateway import settings

if TYPE_CHECKING:
    from pollenfork import metrics

_LOG = logging.getLogger(__name__)

# The timeout of a call, in seconds.
ORDER_S = 0.8
# The number of report times that are kept until the next scrape: one hour of
# windows.
_REPORT_TIMES_LIMIT = 720

TakeReply = Callable[[messages.PlatformCall, messages.Reply], None]


class PlatformCalls:
    """Makes one call of each kind at a time, independently of other kinds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        duties: settings.DutySettings,
        cloud: edges.Cloud,
        measure_lateness: Callable[[int], float],
    ) -> None:
        """Creates one client for each kind of call.

        Args:
            loop: Runs the calls.
            duties: The settings of the duties.
            cloud: Encodes and decodes the calls.
            measure_lateness: Returns the seconds since the end of a window.
        """
        self._loop = loop
        self._duties = duties
        self._cloud = cloud
        self._measure_lateness = measure_lateness
        self._clients = {
            messages.UsageReport: client.Client(duties.platform),
            rows.ScalingOrder: client.Client(duties.platform),
        }
        self._tasks: dict[type, asyncio.Task[None]] = {}
        self._replies: collections.Counter[tuple[str, messages.Reply]] = (
            collections.Counter()
        )
        self._reported_s: collections.deque[float] = collections.deque(
            maxlen=_REPORT_TIMES_LIMIT
        )

    def begin(
        self, task: messages.PlatformCall | None, take: TakeReply
    ) -> None:
        """Starts a call, unless one of its kind is in progress.

        Args:
            task: The task to make a call for; None does nothing.
            take: Receives the reply.
        """
        if task is None:
            return
        kind = type(task.work)
        if kind not in self._tasks or self._tasks[kind].done():
            self._tasks[kind] = self._loop.create_task(self._call(task, take))

    def close(self) -> None:
        """Cancels the calls in progress."""
        for task in self._tasks.values():
            task.cancel()

    def show(self, output: "metrics.Metrics") -> None:
        """Exports the platform's replies and the lateness of reports."""
        for (kind, reply), count in self._replies.items():
            output.set_count(
                "pollenfork_platform_replies_total",
                count,
                kind=kind,
                reason=reply.value,
            )
        for late_s in self._reported_s:
            output.observe("pollenfork_window_report_seconds", late_s)
        self._reported_s.clear()

    async def _call(self, task: messages.PlatformCall, take: TakeReply) -> None:
        request = self._cloud.encode(task)
        answer = await self._clients[type(task.work)].call(
            request, ORDER_S, task.deadline
        )
        reply = messages.Reply.NO_ANSWER
        if answer is not None:
            reply = self._cloud.decode(answer.status)
        if isinstance(task.work, rows.ScalingOrder):
            self._record_order(task.work, task, reply)
        else:
            self._record_report(task.work, task, reply)
        take(task, reply)

    def _record_order(
        self,
        order: rows.ScalingOrder,
        task: messages.PlatformCall,
        reply: messages.Reply,
    ) -> None:
        self._replies["order", reply] += 1
        _LOG.info(
            "event=runners_ordered service=%s data_centre=%s reclaimable=%s "
            "count=%d fencing=%d reply=%s",
            order.subject.service,
            order.subject.data_centre,
            order.subject.reclaimable,
            order.count,
            task.fencing,
            reply.value,
        )

    def _record_report(
        self,
        report: messages.UsageReport,
        task: messages.PlatformCall,
        reply: messages.Reply,
    ) -> None:
        late_s = self._measure_lateness(report.window)
        self._replies["report", reply] += 1
        if reply is messages.Reply.DONE:
            self._reported_s.append(late_s)
        _LOG.info(
            "event=window_reported window=%d late_ms=%d due=%s fencing=%d "
            "reply=%s",
            report.window,
            late_s * 1000,
            late_s <= self._duties.due_s,
            task.fencing,
            reply.value,
        )
