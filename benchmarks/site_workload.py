"""The two teams' classes as settings and as load, for `benchmarks.site`."""

from collections.abc import Sequence
import dataclasses
import math

from pollenfork import ids
from pollenfork.load import scenario as scenarios
from pollenfork.settings import model
from pollenfork.settings import snapshot

MODEL = ids.ModelName("lines")
DATA_CENTRE = ids.DataCentre("a")
SLOTS = 16
GAP_S = 0.038
_SAME_TARGET_MS = 300_000
_WAIT = model.LatePolicy.WAIT


@dataclasses.dataclass(frozen=True)
class Kind:
    """One class: its settings, its shape and its part of the work.

    Attributes:
        part: Part of the offered tokens.
        prompt: Median tokens of the prompt.
        answer: Median tokens of the answer; log-normal with `sigma`.
    """

    name: str
    team: str
    settings: model.ServiceClass
    part: float
    prompt: int
    answer: int
    sigma: float

    @property
    def key(self) -> str:
        """The bearer key of the class's account."""
        return f"{self.name}-key"

    @property
    def mean_tokens(self) -> float:
        """Mean tokens of an answer."""
        return self.answer * math.exp(self.sigma**2 / 2)


KINDS = (
    Kind(
        "morning", "linework",
        model.ServiceClass(
            tier=0, target_first_token_ms=3000, protected=True,
            when_late=_WAIT, max_wait_ms=60_000, minimum_share=0.0,
        ),
        0.20, 600, 80, 0.6,
    ),
    Kind(
        "price", "ledger",
        model.ServiceClass(
            tier=1, target_first_token_ms=800, max_wait_ms=5000
        ),
        0.05, 200, 24, 0.5,
    ),
    Kind(
        "crew", "linework",
        model.ServiceClass(
            tier=2, target_first_token_ms=1300, max_wait_ms=10_000
        ),
        0.15, 300, 60, 0.7,
    ),
    Kind(
        "review", "ledger",
        model.ServiceClass(
            tier=3, target_first_token_ms=10_000, protected=True,
            when_late=_WAIT, max_wait_ms=60_000,
        ),
        0.20, 1500, 200, 0.8,
    ),
    Kind(
        "settlement", "ledger",
        model.ServiceClass(
            tier=4, target_first_token_ms=4000, max_wait_ms=20_000
        ),
        0.20, 500, 100, 0.7,
    ),
    Kind(
        "logs", "linework",
        model.ServiceClass(
            tier=6, target_first_token_ms=20_000, when_late=_WAIT,
            max_wait_ms=40_000,
        ),
        0.20, 600, 100, 0.7,
    ),
)  # fmt: skip


def make_tree(engines: Sequence[str], one_tier: bool) -> model.Tree:
    """Returns the settings.

    Args:
        engines: Addresses.
        one_tier: All classes alike, waiting in the order of arrival.
    """
    endpoints = {
        ids.EndpointId(f"runner-{i}"): model.EndpointSettings(
            address=address,
            data_centre=DATA_CENTRE,
            models=(MODEL,),
            slots=SLOTS,
            checks_fencing=True,
        )
        for i, address in enumerate(engines, 1)
    }
    teams = sorted({kind.team for kind in KINDS})
    ceilings = {ids.Team(t): model.Ceiling(may_protect=True) for t in teams}
    return model.Tree(
        root=model.RootSettings(ceilings=ceilings, endpoints=endpoints),
        teams={ids.Team(team): _make_team(team, one_tier) for team in teams},
        revision=ids.Revision(1),
    )


def _make_team(team: str, one_tier: bool) -> model.TeamSettings:
    alike = model.ServiceClass(
        tier=0,
        target_first_token_ms=_SAME_TARGET_MS,
        when_late=_WAIT,
        max_wait_ms=60_000,
        minimum_share=0.0,
    )
    kinds = [kind for kind in KINDS if kind.team == team]
    return model.TeamSettings(
        classes={
            ids.ClassName(kind.name): alike if one_tier else kind.settings
            for kind in kinds
        },
        accounts={
            ids.AccountId(kind.name): model.Account(
                key_sha256=snapshot.hash_key(kind.key),
                classes=(ids.ClassName(kind.name),),
                default_class=ids.ClassName(kind.name),
                max_in_flight=1024,
            )
            for kind in kinds
        },
    )


def make_scenario(
    tokens_per_s: float, duration_s: float, seed: int
) -> scenarios.Scenario:
    """Returns open-loop load of all classes at so many tokens asked for."""
    rates = {
        kind.name: tokens_per_s * kind.part / kind.mean_tokens for kind in KINDS
    }
    return scenarios.Scenario(
        classes={kind.name: _make_load(kind) for kind in KINDS},
        phases=(scenarios.Phase(duration_s=duration_s, rates=rates),),
        seed=seed,
        timeout_s=90,
        max_open=4000,
    )


def make_burst(requests: int, seed: int) -> scenarios.Scenario:
    """Returns about so many morning reports within a twentieth of a second."""
    kind = KINDS[0]
    phase = scenarios.Phase(duration_s=0.05, rates={kind.name: requests / 0.05})
    return scenarios.Scenario(
        classes={kind.name: _make_load(kind)},
        phases=(phase,),
        seed=seed,
        timeout_s=60,
    )


def _make_load(kind: Kind) -> scenarios.LoadClass:
    return scenarios.LoadClass(
        key=kind.key,
        service_class=kind.name,
        model=MODEL,
        prompt=scenarios.Length(median=kind.prompt, sigma=0.3),
        answer=scenarios.Length(
            median=kind.answer, sigma=kind.sigma, longest=600
        ),
        prefix_tokens=kind.prompt // 2,
        target_first_token_ms=kind.settings.target_first_token_ms,
        target_gap_ms=kind.settings.target_gap_ms,
    )
