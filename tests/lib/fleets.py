"""Builds the plans of fleets under test."""

import hashlib

from masticward.bench import plans
from masticward.models import configuration

ZONES = ("east", "middle", "west")
WRITER = "writer"
BOOKING = "booking"


def build(entries: int, writers: int, bookings: int, teams: int = 16) -> plans.FleetPlan:
    """Return a plan with a language-model service, a booking service and a few large teams."""
    names = [f"team-{number:02}" for number in range(teams)]
    credentials = {name: f"credential-{name}" for name in names}
    built = configuration.Configuration(
        version=1,
        availability_zones=ZONES,
        services=(writer(writers), booking(bookings)),
        teams=tuple(
            configuration.Team(
                name=name,
                share=4.0 if number < 3 else 1.0,
                credential_digests=(hashlib.sha256(credentials[name].encode()).hexdigest(),),
            )
            for number, name in enumerate(names)
        ),
    )
    return plans.spread(built, credentials, entries)


def writer(endpoints: int) -> configuration.Service:
    return configuration.Service(
        name=WRITER,
        kind=configuration.ServiceKind.LANGUAGE_MODEL,
        operations=(
            configuration.Operation(
                name="generate", method="POST", path="/v1/generate", idempotent=True
            ),
        ),
        cold_limit=2,
        warm_limit=6,
        endpoints=endpoints,
        maximum_cost=500.0,
    )


def booking(endpoints: int) -> configuration.Service:
    return configuration.Service(
        name=BOOKING,
        kind=configuration.ServiceKind.PLAIN,
        operations=(
            configuration.Operation(
                name="book", method="POST", path="/v1/bookings", idempotent=False, cost=1.0
            ),
            configuration.Operation(
                name="look-up", method="GET", path="/v1/baskets/*", idempotent=True, cost=1.0
            ),
        ),
        cold_limit=2,
        warm_limit=6,
        endpoints=endpoints,
    )
