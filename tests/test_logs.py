"""The format of log lines."""

import logging

import pytest

from pollenfork import logs


@pytest.mark.parametrize(
    ("name", "text", "line"),
    [
        ("pollenfork.core", "event=started n=1", "event=started n=1"),
        (
            "waitress.queue",
            "Task queue depth is 3",
            'event=library_message text="Task queue depth is 3"',
        ),
        (
            "waitress",
            'Client "x"\ndisconnected',
            'event=library_message text="Client \\"x\\"\\ndisconnected"',
        ),
    ],
)
def test_all_messages_are_formatted_as_key_value_pairs(name, text, line):
    record = logging.LogRecord(name, logging.INFO, "", 0, text, (), None)
    assert logs.Formatter("%(message)s").format(record) == line
