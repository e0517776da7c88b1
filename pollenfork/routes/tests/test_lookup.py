import collections

import pytest

from pollenfork import ids
from pollenfork.routes import lookup
from pollenfork.routes import model


def make_route(
    prefix: str, host: str = "a.example", **overrides
) -> model.Route:
    fields = {
        "name": prefix,
        "kind": model.Kind.REPEATABLE,
        "time_limit_s": 1.0,
        "target_s": 0.2,
        "gap_s": 0.0,
        "tier": ids.Tier(1),
        "targets": (model.Target(ids.ServiceName("s"), 1.0),),
        "attempts": 1,
        "public": False,
        "resumable": False,
        "prefix_affinity": False,
    }
    return model.Route(host=host, prefix=prefix, **{**fields, **overrides})


def make_lookup(*routes: model.Route, accounts=None) -> lookup.Lookup:
    return lookup.Lookup(
        model.Configuration(
            version=1,
            routes=routes,
            services={},
            limits=model.CallerLimits(),
            accounts=accounts,
        )
    )


def test_finds_the_longest_prefix_of_the_host() -> None:
    table = make_lookup(make_route("/"), make_route("/a/"), make_route("/a/b/"))
    assert table.find_route("a.example", "/a/b/c").prefix == "/a/b/"
    assert table.find_route("a.example", "/a/bc").prefix == "/a/"
    assert table.find_route("a.example", "/x").prefix == "/"


@pytest.mark.parametrize(
    ("host", "path"),
    [
        ("b.example", "/a/x"),
        ("a.example", "/a"),
        ("a.example", "/A/x"),
        ("", "/a/x"),
    ],
)
def test_other_hosts_and_paths_match_no_route(host: str, path: str) -> None:
    assert make_lookup(make_route("/a/")).find_route(host, path) is None


@pytest.mark.parametrize("host", ["A.Example", "a.example:80"])
def test_case_and_port_of_the_host_are_ignored(host: str) -> None:
    assert make_lookup(make_route("/a/")).find_route(host, "/a/x")


def test_split_follows_the_weights_and_is_deterministic() -> None:
    targets = (
        model.Target(ids.ServiceName("s"), 90),
        model.Target(ids.ServiceName("t"), 10),
    )
    route = make_route("/a/", targets=targets)
    tokens = [b"%d" % number for number in range(4000)]
    first = [lookup.choose_service(route, token) for token in tokens]
    again = [lookup.choose_service(route, token) for token in tokens]
    assert first == again
    assert 300 < collections.Counter(first)["t"] < 500


def test_service_with_zero_weight_gets_no_requests() -> None:
    targets = (
        model.Target(ids.ServiceName("s"), 0),
        model.Target(ids.ServiceName("t"), 1),
    )
    route = make_route("/a/", targets=targets)
    chosen = {lookup.choose_service(route, b"%d" % n) for n in range(500)}
    assert chosen == {"t"}


def test_keys_are_required_only_if_the_configuration_has_accounts() -> None:
    route = make_route("/a/")
    assert not make_lookup(route).needs_key(route)
    assert make_lookup(route, accounts={}).needs_key(route)
    open_route = make_route("/a/", public=True)
    assert not make_lookup(open_route, accounts={}).needs_key(open_route)


def test_the_accounts_tier_outranks_the_routes() -> None:
    urgent = model.Account(ids.AccountId("u"), ids.Tier(0))
    regular = model.Account(ids.AccountId("v"), ids.Tier(1))
    first, last = make_route("/a/", tier=0), make_route("/b/", tier=2)
    table = make_lookup(first, last)
    ranks = [
        table.get_tier(first, urgent),
        table.get_tier(last, urgent),
        table.get_tier(first, regular),
        table.get_tier(last, regular),
    ]
    assert ranks == sorted(set(ranks))
    assert table.get_tier(last, None) == 2


def test_the_tiers_of_requests_follow_from_accounts_and_routes() -> None:
    first, last = (
        model.Account(ids.AccountId(name), ids.Tier(tier))
        for name, tier in (("a", 0), ("b", 1))
    )
    unranked = model.Account(ids.AccountId("c"), None)
    accounts = {"k1": first, "k2": last, "k3": unranked}
    made = [make_route("/a/"), make_route("/b/", tier=ids.Tier(3))]
    table = make_lookup(*made, accounts=accounts)
    service = ids.ServiceName("s")
    expected = {
        table.get_tier(route, account)
        for route in made
        for account in (first, last, unranked, None)
    }
    assert table.list_request_tiers(service) == tuple(sorted(expected))
    assert make_lookup(*made).list_request_tiers(service) == (1, 3)


# Guards against forecasts for deployments whose callers wait too briefly for
# the forecast's error: those keep the fixed costs.
@pytest.mark.parametrize(
    ("targets_s", "expected"),
    [
        ((0.3, 0.5, 1.5), False),
        ((0.4, 0.6, 1.5), False),
        ((0.999, 2.0), False),
        ((1.0, 2.0), True),
        ((0.0, 2.0), False),
    ],
)
def test_short_targets_switch_forecasts_off(targets_s, expected) -> None:
    streams = [
        make_route(
            f"/{number}/",
            kind=model.Kind.STREAM,
            prefix_affinity=True,
            target_s=target_s,
        )
        for number, target_s in enumerate(targets_s)
    ]
    plain = make_route("/plain/", target_s=0.2)
    table = make_lookup(*streams, plain)
    assert table.is_forecast(ids.ServiceName("s")) is expected
    assert table.has_forecast is expected


def test_a_service_without_prompts_is_not_forecast() -> None:
    table = make_lookup(make_route("/plain/", target_s=5.0))
    assert not table.is_forecast(ids.ServiceName("s"))
    assert not table.has_forecast
