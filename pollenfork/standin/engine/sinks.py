"""How a job's events become the answer on its connection."""

import asyncio
from typing import Protocol

from pollenfork.standin import http
from pollenfork.standin.engine import jobs
from pollenfork.standin.engine import prompt as prompts
from pollenfork.standin.engine import render

_EVENT_STREAM = "text/event-stream"


class Sink(Protocol):
    """Takes a job's events; `ended` is set after the last."""

    ended: asyncio.Event

    def take(self, event: jobs.Event) -> None:
        """Passes on one event."""


class StreamSink:
    """Streams the tokens from position `start` on, as they come.

    The head goes out with the first token, so that a request cancelled while
    it waits can still be answered as not run.
    """

    def __init__(
        self, exchange: http.Exchange, prompt: prompts.Prompt, start: int = 0
    ) -> None:
        self.ended = asyncio.Event()
        self._exchange = exchange
        self._renderer = render.Renderer(prompt)
        self._start = start
        self._started = False

    def take(self, event: jobs.Event) -> None:
        """Passes on one event."""
        if event.kind is jobs.EventKind.TOKEN:
            if event.position >= self._start:
                self._write(self._renderer.render_event(event.position))
            return
        if event.kind is jobs.EventKind.FINISHED:
            self._write(render.DONE)
            self._exchange.finish()
        else:
            _end_early(event, self._exchange)
        self.ended.set()

    def _write(self, data: bytes) -> None:
        if not self._started:
            self._started = True
            self._exchange.start(200, content_type=_EVENT_STREAM)
        self._exchange.write(data)


class PlainSink:
    """Sends the whole answer at its end."""

    def __init__(self, exchange: http.Exchange, prompt: prompts.Prompt) -> None:
        self.ended = asyncio.Event()
        self._exchange = exchange
        self._prompt = prompt

    def take(self, event: jobs.Event) -> None:
        """Passes on one event."""
        if event.kind is jobs.EventKind.TOKEN:
            return
        if event.kind is jobs.EventKind.FINISHED:
            renderer = render.Renderer(self._prompt)
            self._exchange.send(200, renderer.render_answer())
        else:
            _end_early(event, self._exchange)
        self.ended.set()


def _end_early(event: jobs.Event, exchange: http.Exchange) -> None:
    if event.kind is jobs.EventKind.NOT_RUN:
        body = render.render_error("cancelled", "cancelled before it ran")
        exchange.send(503, body, (("X-Outcome", "not_run"),))
    else:
        exchange.drop()
