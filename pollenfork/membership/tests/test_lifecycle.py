"""Two instances over real sockets: join, pressure, settings, leave, stop."""

import queue
import threading

import pytest
import result

from pollenfork import clock
from pollenfork import config
from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import lifecycle
from pollenfork.membership import messages
from pollenfork.store import errors as platform_errors

_LIMIT_S = 20.0


class UnavailableList:
    """The platform's list while the platform is unavailable."""

    def fetch(self):
        return result.Err(platform_errors.Unavailable())


def _make(name, *seeds):
    events: queue.Queue = queue.Queue()
    settings = config.EntryConfig(
        instance=ids.InstanceId(name),
        data_centre=ids.DataCentre("a"),
        listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        platform="127.0.0.1:1",
    )
    demand = dispatch_messages.Demand(ids.ModelName("m"), ids.Tier(0), 3, 0)
    membership = lifecycle.Membership(
        settings,
        clock.SystemClock(),
        UnavailableList(),
        lambda: dispatch_messages.Pressure(settings.instance, (demand,)),
        lambda: ids.Revision(5),
        {0: b"tree"}.get,
        events.put,
        seeds,
    )
    return membership, events


def _await(events, kind):
    while True:
        event = events.get(timeout=_LIMIT_S)
        if isinstance(event, kind):
            return event


@pytest.mark.filterwarnings("error")
def test_two_instances_work_while_platform_is_unavailable():
    before = set(threading.enumerate())
    one, one_events = _make("entry-1")
    one.start()
    other, other_events = _make("entry-2", one.address)
    other.start()

    joined = _await(one_events, messages.MemberJoined)
    assert (joined.instance, joined.address) == ("entry-2", other.address)
    heard = _await(other_events, messages.PressureHeard)
    assert heard.pressure.demands[0].waiting == 3
    revised = [view.revision for view in other.list_members()]
    assert revised == [5, 5]
    copy = other.fetch_settings(one.address, ids.Revision(0))
    assert copy == result.Ok(b"tree")

    other.leave()
    left = _await(one_events, messages.MemberLeft)
    assert left.instance == "entry-2"
    assert "Unavailable" in one.count_failures()
    other.stop()
    one.stop()
    started = [
        thread
        for thread in set(threading.enumerate()) - before
        if not thread.name.startswith("peer-server")
    ]
    for thread in started:
        thread.join(_LIMIT_S)
        assert not thread.is_alive(), thread


def test_start_raises_if_address_is_in_use():
    one, _ = _make("entry-1")
    one.start()
    other, _ = _make("entry-2")
    other._settings = config.EntryConfig(
        instance=ids.InstanceId("entry-2"),
        data_centre=ids.DataCentre("a"),
        listen="127.0.0.1:0",
        peer_listen=one.address,
        platform="127.0.0.1:1",
    )
    with pytest.raises(OSError, match=one.address):
        other.start()
    other.stop()
    one.stop()
