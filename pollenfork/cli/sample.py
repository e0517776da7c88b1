"""Sample settings tree and load scenario of two teams, for `trial`.

The scenarios under `benchmarks/scenarios` use the same keys and classes.
"""

from collections.abc import Sequence

from pollenfork import ids
from pollenfork.load import scenario as scenarios
from pollenfork.settings import model
from pollenfork.settings import snapshot

MODEL = ids.ModelName("model")
SERVICE = ids.ServiceName("metering")
DATA_CENTRE = ids.DataCentre("amman-1")
OPERATOR_TOKEN = "operator-token"
SLOTS = 16

_ACCOUNTS = {
    "dispatch": ("linework", "dispatch-key", ("morning", "logs")),
    "crews": ("linework", "crews-key", ("morning", "logs")),
    "treasury": ("ledger", "treasury-key", ("review", "price", "settlement")),
    "settling": ("ledger", "settling-key", ("settlement", "price")),
}
_CLASSES = {
    "linework": {
        "morning": model.ServiceClass(
            tier=0, protected=True, when_late=model.LatePolicy.WAIT
        ),
        "logs": model.ServiceClass(tier=5, target_first_token_ms=10_000),
    },
    "ledger": {
        "review": model.ServiceClass(
            tier=0,
            protected=True,
            when_late=model.LatePolicy.WAIT,
            target_first_token_ms=2_500,
        ),
        "price": model.ServiceClass(tier=1, target_first_token_ms=800),
        "settlement": model.ServiceClass(tier=3, target_first_token_ms=4_000),
    },
}


def make_tree(
    engines: Sequence[str], services: Sequence[str] = ()
) -> model.Tree:
    """Returns the settings for engines and services at given addresses."""
    root = model.RootSettings(
        operator_sha256=(snapshot.hash_key(OPERATOR_TOKEN),),
        ceilings={
            ids.Team(team): model.Ceiling(may_protect=True) for team in _CLASSES
        },
        endpoints={
            **_make_endpoints("runner", model.EndpointKind.RUNNER, engines),
            **_make_endpoints("service", model.EndpointKind.SERVICE, services),
        },
        services=_make_services(services),
    )
    return model.Tree(
        root=root,
        teams={ids.Team(team): _make_team(team) for team in _CLASSES},
        revision=ids.Revision(1),
    )


def make_scenario() -> scenarios.Scenario:
    """Returns a short burst of both teams at about 1.5 times capacity."""
    return scenarios.Scenario(
        classes={
            "morning": scenarios.LoadClass(
                key="dispatch-key", service_class="morning", prefix_tokens=256,
                prompt=scenarios.Length(median=400, sigma=0.3),
            ),
            "logs": scenarios.LoadClass(
                key="crews-key", service_class="logs",
                target_first_token_ms=10_000,
                answer=scenarios.Length(median=48, sigma=0.6),
            ),
            "review": scenarios.LoadClass(
                key="treasury-key", service_class="review",
                target_first_token_ms=2_500,
                prompt=scenarios.Length(median=1500, sigma=0.3),
                answer=scenarios.Length(median=160, sigma=0.8, longest=600),
            ),
            "price": scenarios.LoadClass(
                key="treasury-key", service_class="price", stream=False,
                target_first_token_ms=2_000,
                answer=scenarios.Length(median=16, sigma=0.3),
            ),
        },
        phases=(
            scenarios.Phase(
                duration_s=2, rates={"morning": 2, "logs": 2, "price": 1}
            ),
            scenarios.Phase(
                duration_s=5,
                rates={"morning": 8, "logs": 6, "review": 1, "price": 4},
            ),
        ),
        timeout_s=60,
    )  # fmt: skip


def _make_endpoints(
    prefix: str, kind: model.EndpointKind, addresses: Sequence[str]
) -> dict[ids.EndpointId, model.EndpointSettings]:
    models = (MODEL,) if kind is model.EndpointKind.RUNNER else ()
    return {
        ids.EndpointId(f"{prefix}-{i}"): model.EndpointSettings(
            address=address,
            data_centre=DATA_CENTRE,
            kind=kind,
            models=models,
            slots=SLOTS,
            checks_fencing=True,
        )
        for i, address in enumerate(addresses, 1)
    }


def _make_services(
    addresses: Sequence[str],
) -> dict[ids.ServiceName, model.ServiceSettings]:
    if not addresses:
        return {}
    names = _make_endpoints("service", model.EndpointKind.SERVICE, addresses)
    return {SERVICE: model.ServiceSettings(endpoints=tuple(names))}


def _make_team(team: str) -> model.TeamSettings:
    accounts = {
        ids.AccountId(name): model.Account(
            key_sha256=snapshot.hash_key(key),
            classes=tuple(ids.ClassName(c) for c in classes),
            default_class=ids.ClassName(classes[0]),
            max_in_flight=256,
        )
        for name, (owner, key, classes) in _ACCOUNTS.items()
        if owner == team
    }
    classes = {ids.ClassName(n): c for n, c in _CLASSES[team].items()}
    return model.TeamSettings(classes=classes, accounts=accounts)
