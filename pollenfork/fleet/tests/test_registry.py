from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.fleet import registry


def make_runner(name: str, service: str = "s", **given) -> model.Runner:
    fields = {
        "host": "127.0.0.1",
        "port": 1,
        "data_centre": ids.DataCentre("a"),
        "slots": 4,
        "leaving": False,
        "cold_s": 0.0,
    }
    return model.Runner(
        id=ids.EndpointId(name),
        service=ids.ServiceName(service),
        **{**fields, **given},
    )


def list_takers(runners: registry.Registry, service: str = "s") -> list[str]:
    return [each.id for each in runners.list_takers(ids.ServiceName(service))]


def test_a_runner_that_leaves_takes_nothing_and_is_told_once() -> None:
    runners, gone = registry.Registry(), []
    runners.when_gone(gone.append)
    runners.put(make_runner("r"))
    assert list_takers(runners) == ["r"]
    runners.put(make_runner("r", leaving=True))
    runners.put(make_runner("r", leaving=True))
    assert list_takers(runners) == []
    assert gone == ["r"]


def test_a_removed_runner_is_gone_at_once() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r"))
    runners.remove(ids.EndpointId("r"), now=10.0)
    assert list_takers(runners) == []
    assert runners.size == 0


def test_an_entry_that_lapsed_while_the_store_was_away_is_kept_a_while() -> (
    None
):
    runners = registry.Registry()
    runners.put(make_runner("r"))
    runners.keep_until(12.0)
    runners.remove(ids.EndpointId("r"), now=10.5)
    assert list_takers(runners) == ["r"]
    runners.expire(now=11.9)
    assert list_takers(runners) == ["r"]
    runners.expire(now=12.1)
    assert list_takers(runners) == []


def test_a_lapsed_entry_that_is_back_stays() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r"))
    runners.keep_until(12.0)
    runners.remove(ids.EndpointId("r"), now=10.5)
    runners.put(make_runner("r"))
    runners.expire(now=20.0)
    assert list_takers(runners) == ["r"]


def test_a_runner_that_said_it_leaves_is_not_kept() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", leaving=True))
    runners.keep_until(12.0)
    runners.remove(ids.EndpointId("r"), now=10.5)
    assert runners.size == 0


def test_a_new_incarnation_at_an_address_is_another_runner() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r1", "s"))
    runners.put(make_runner("r2", "t"))
    runners.remove(ids.EndpointId("r1"), now=5.0)
    assert list_takers(runners, "s") == []
    assert list_takers(runners, "t") == ["r2"]
