"""Checks collected files and joins them into one configuration."""

import collections.abc
import math
import re

from returns import result

from masticward import errors
from masticward.models import configuration as configuration_models
from masticward.publishing import collect

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
WILDCARD = "/*"
# The manifest holds all services and must stay within the 1 MB of one object.
MAXIMUM_SERVICES = 200
MAXIMUM_OPERATIONS = 64
MAXIMUM_ZONES = 32
MAXIMUM_TEAMS = 100_000
MAXIMUM_CREDENTIALS = 16
MAXIMUM_CONCURRENCY = 10_000


class Checker:
    """Gathers the problems of all files; each line names file, JSON path and what to do."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.first_places: dict[tuple[str, str], str] = {}
        self.routes: list[tuple[str, configuration_models.Operation, str]] = []

    def report(self, place: str, message: str) -> None:
        """Add one problem."""
        self.problems.append(f"{place}: {message}")

    def check_unique(self, kind: str, name: str, place: str, shown: str | None = None) -> None:
        """Report a name that was used before."""
        first = self.first_places.setdefault((kind, name), place)
        if first != place:
            text = name if shown is None else shown
            self.report(place, f"duplicate {kind} {text!r}, first at {first}; remove one of them")

    def check_name(self, kind: str, name: str, place: str) -> None:
        """Report a name that is malformed or used before."""
        if not NAME_PATTERN.fullmatch(name):
            self.report(
                place,
                f"{kind} name {name!r} is not valid; use 1 to 63 lower-case letters, digits, '-'",
            )
        self.check_unique(kind, name, place)

    def check_file(self, file: collect.CollectedFile) -> None:
        """Check one file."""
        root = f"{file.path}: $"
        for index, zone in enumerate(file.content.availability_zones):
            self.check_name("availability zone", zone, f"{root}.availability_zones[{index}]")
        if file.content.service is not None:
            self.check_service(file.content.service, f"{root}.service")
        for index, team in enumerate(file.content.teams):
            self.check_team(team, f"{root}.teams[{index}]")

    def check_service(self, service: configuration_models.Service, place: str) -> None:
        """Check one service."""
        self.check_name("service", service.name, f"{place}.name")
        if service.endpoints < 1:
            self.report(
                f"{place}.endpoints",
                f"service {service.name!r} has no endpoint; plan at least 1",
            )
        self.check_limits(service, place)
        for field in ("prompt_token_weight", "output_token_weight"):
            weight = getattr(service, field)
            if not math.isfinite(weight) or weight < 0:
                self.report(f"{place}.{field}", f"is {weight}; use a number of at least 0")
        self.check_positive(service.maximum_cost, f"{place}.maximum_cost")
        if not 1 <= len(service.operations) <= MAXIMUM_OPERATIONS:
            self.report(
                f"{place}.operations",
                f"has {len(service.operations)} operations; declare 1 to {MAXIMUM_OPERATIONS}",
            )
        for index, operation in enumerate(service.operations):
            self.check_operation(service, operation, f"{place}.operations[{index}]")

    def check_limits(self, service: configuration_models.Service, place: str) -> None:
        """Check the concurrency limits of a service."""
        for field in ("cold_limit", "warm_limit"):
            limit = getattr(service, field)
            if not 1 <= limit <= MAXIMUM_CONCURRENCY:
                self.report(f"{place}.{field}", f"is {limit}; use 1 to {MAXIMUM_CONCURRENCY}")
        if service.cold_limit > service.warm_limit:
            self.report(
                f"{place}.cold_limit",
                f"is {service.cold_limit}, above warm_limit {service.warm_limit}; lower it",
            )

    def check_operation(
        self,
        service: configuration_models.Service,
        operation: configuration_models.Operation,
        place: str,
    ) -> None:
        """Check one operation of a service."""
        if not NAME_PATTERN.fullmatch(operation.name):
            self.report(
                f"{place}.name",
                f"operation name {operation.name!r} is not valid; use 1 to 63 lower-case letters,"
                " digits, '-'",
            )
        self.check_unique(f"operation of service {service.name!r}", operation.name, f"{place}.name")
        if operation.method not in METHODS:
            self.report(
                f"{place}.method", f"{operation.method!r} is unknown; use {', '.join(METHODS)}"
            )
        self.check_path(operation, f"{place}.path")
        if self.check_positive(operation.cost, f"{place}.cost") and (
            operation.cost > service.maximum_cost
        ):
            self.report(
                f"{place}.cost",
                f"is {operation.cost}, above maximum_cost {service.maximum_cost}; lower it",
            )

    def check_path(self, operation: configuration_models.Operation, place: str) -> None:
        """Check that a path is well formed and overlaps no other of the same method."""
        fixed = operation.path.removesuffix(WILDCARD)
        if not operation.path.startswith("/") or any(sign in fixed for sign in "*?# "):
            self.report(
                place,
                f"{operation.path!r} is not valid; begin with '/', without query or spaces, and"
                " use '*' only as a final '/*'",
            )
            return
        for other_place, other, other_path in self.routes:
            if other.method == operation.method and overlap(other_path, operation.path):
                self.report(
                    place,
                    f"{operation.method} {operation.path} overlaps {other_path} at {other_place};"
                    " make the paths disjoint",
                )
        self.routes.append((place, operation, operation.path))

    def check_team(self, team: configuration_models.Team, place: str) -> None:
        """Check one team."""
        self.check_name("team", team.name, f"{place}.name")
        self.check_positive(team.share, f"{place}.share")
        if not 1 <= len(team.credential_digests) <= MAXIMUM_CREDENTIALS:
            self.report(
                f"{place}.credential_digests",
                f"has {len(team.credential_digests)} digests; give 1 to {MAXIMUM_CREDENTIALS}",
            )
        for index, digest in enumerate(team.credential_digests):
            digest_place = f"{place}.credential_digests[{index}]"
            if DIGEST_PATTERN.fullmatch(digest):
                self.check_unique("credential digest", digest, digest_place, digest[:8] + "...")
            else:
                # The value may be a credential that was pasted by mistake, so it is not shown.
                self.report(
                    digest_place,
                    "is not 64 lower-case hex digits; give the SHA-256 digest of the credential",
                )

    def check_positive(self, value: float, place: str) -> bool:
        """Report a number that is not above 0; tells whether it is."""
        if math.isfinite(value) and value > 0:
            return True
        self.report(place, f"is {value}; use a number above 0")
        return False

    def check_counts(self, configuration: configuration_models.Configuration) -> None:
        """Check what only the whole shows."""
        counts = (
            ("availability_zones", len(configuration.availability_zones), MAXIMUM_ZONES),
            ("service", len(configuration.services), MAXIMUM_SERVICES),
            ("teams", len(configuration.teams), MAXIMUM_TEAMS),
        )
        for field, count, maximum in counts:
            if count == 0:
                self.report("all files", f"$.{field}: none found; declare at least one")
            elif count > maximum:
                self.report("all files", f"$.{field}: {count} found; at most {maximum} are allowed")


def overlap(first: str, second: str) -> bool:
    """Tell whether some path matches both patterns."""
    if first.endswith(WILDCARD) and second.endswith(WILDCARD):
        shorter, longer = sorted((first[:-1], second[:-1]), key=len)
        return longer.startswith(shorter)
    if first.endswith(WILDCARD):
        return second.startswith(first[:-1])
    if second.endswith(WILDCARD):
        return first.startswith(second[:-1])
    return first == second


def join(
    files: collections.abc.Iterable[collect.CollectedFile],
) -> configuration_models.Configuration:
    """Return the content of all files as one configuration of version 0, sorted by name."""
    zones: list[str] = []
    services: list[configuration_models.Service] = []
    teams: list[configuration_models.Team] = []
    for file in files:
        zones.extend(file.content.availability_zones)
        teams.extend(file.content.teams)
        if file.content.service is not None:
            services.append(file.content.service)
    return configuration_models.Configuration(
        version=0,
        availability_zones=tuple(zones),
        services=tuple(sorted(services, key=lambda item: item.name)),
        teams=tuple(sorted(teams, key=lambda item: item.name)),
    )


def check(
    collection: collect.Collection,
) -> result.Result[configuration_models.Configuration, errors.ConfigurationError]:
    """Return the configuration of the files, or every problem in them at once."""
    checker = Checker()
    checker.problems.extend(collection.problems)
    for file in collection.files:
        checker.check_file(file)
    joined = join(collection.files)
    # A file that did not decode may hold what seems to be missing.
    if not collection.problems:
        checker.check_counts(joined)
    if checker.problems:
        return result.Failure(errors.ConfigurationError(checker.problems))
    return result.Success(joined)
