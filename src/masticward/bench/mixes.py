"""The loads of the demo and the measurements, built from a plan."""

import collections.abc
import math

from masticward.bench import calls, load, plans
from masticward.models import configuration as configuration_models

# Short prompts with long answers, long prompts with short answers, and everything between.
TOKEN_RANGES = (((10, 50), (20, 40)), ((200, 400), (10, 20)), ((10, 400), (10, 40)))
# Prompt and output tokens of the open load. Short streams give many calls, and so usable tail
# percentiles, without the tokens per second at which one process becomes the bottleneck.
OPEN_TOKENS = ((10, 50), (5, 15))
KEYED_RATIO = 0.5
FLOOD_FACTOR = 6


def services_of(
    plan: plans.FleetPlan, kind: configuration_models.ServiceKind
) -> list[configuration_models.Service]:
    """Return the services of one kind."""
    return [service for service in plan.configuration.services if service.kind is kind]


def language_model(plan: plans.FleetPlan) -> configuration_models.Service:
    """Return the first language-model service of a plan."""
    return services_of(plan, configuration_models.ServiceKind.LANGUAGE_MODEL)[0]


def plain(plan: plans.FleetPlan) -> configuration_models.Service:
    """Return the first plain service of a plan."""
    return services_of(plan, configuration_models.ServiceKind.PLAIN)[0]


def text_loads(
    plan: plans.FleetPlan,
    outstanding: float,
    flooding_team: int | None = None,
    teams: collections.abc.Sequence[str] = (),
) -> list[load.TeamLoad]:
    """Return language-model load for each team, or for the given teams only.

    ``outstanding`` calls are kept under way for each unit of share, so that every team stays
    backlogged. One team may flood: it keeps several times as many and ignores Retry-After.
    """
    service = language_model(plan)
    operation = service.operations[0]
    loads = []
    for number, team in enumerate(plan.configuration.teams):
        if teams and team.name not in teams:
            continue
        prompt, output = TOKEN_RANGES[number % len(TOKEN_RANGES)]
        floods = number == flooding_team
        calls_under_way = math.ceil(outstanding * team.share)
        loads.append(
            load.TeamLoad(
                team=team.name,
                credential=plan.credentials[team.name],
                outstanding=calls_under_way * (FLOOD_FACTOR if floods else 1),
                mix=calls.TextCalls(service, operation, prompt, output),
                patient=not floods,
            )
        )
    return loads


def open_text_loads(plan: plans.FleetPlan, calls_per_second: float) -> list[load.TeamLoad]:
    """Return an open load of short language-model streams, split over the teams by share."""
    service = language_model(plan)
    operation = service.operations[0]
    shares = plan.shares()
    return [
        load.TeamLoad(
            team=team,
            credential=plan.credentials[team],
            outstanding=0,
            mix=calls.TextCalls(service, operation, *OPEN_TOKENS),
            calls_per_second=calls_per_second * share / sum(shares.values()),
        )
        for team, share in shares.items()
    ]


def booking_loads(
    plan: plans.FleetPlan,
    outstanding: int,
    keyed_ratio: float = KEYED_RATIO,
) -> list[load.TeamLoad]:
    """Return load of the plain service for each team, on operations that must not be repeated."""
    service = plain(plan)
    operation = next(item for item in service.operations if not item.idempotent)
    return [
        load.TeamLoad(
            team=team.name,
            credential=plan.credentials[team.name],
            outstanding=outstanding,
            mix=calls.PlainCalls(service, operation, keyed_ratio),
        )
        for team in plan.configuration.teams
    ]
