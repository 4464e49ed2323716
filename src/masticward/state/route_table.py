"""Lookup of the team of a credential and the operation of a call in one configuration."""

import hashlib
import hmac

from masticward.models import configuration as configuration_models

WILDCARD_SUFFIX = "/*"


class RouteTable:
    """Lookup tables for one configuration version."""

    __slots__ = ("exact_routes", "teams_by_digest", "version", "wildcard_routes")

    def __init__(self, configuration: configuration_models.Configuration) -> None:
        self.version = configuration.version
        self.teams_by_digest: dict[str, tuple[str, str]] = {}
        self.exact_routes: dict[tuple[str, str], Route] = {}
        self.wildcard_routes: dict[tuple[str, str], Route] = {}
        for team in configuration.teams:
            for digest in team.credential_digests:
                self.teams_by_digest[digest.lower()] = (digest.lower(), team.name)
        for service in configuration.services:
            for operation in service.operations:
                self.add_operation(service, operation)

    def add_operation(
        self, service: configuration_models.Service, operation: configuration_models.Operation
    ) -> None:
        """Index one operation. The first operation declared for a method and path wins."""
        method = operation.method.upper()
        if operation.path.endswith(WILDCARD_SUFFIX):
            prefix = operation.path.removesuffix(WILDCARD_SUFFIX)
            self.wildcard_routes.setdefault((method, prefix), Route(service, operation))
        else:
            self.exact_routes.setdefault((method, operation.path), Route(service, operation))

    def team_for_credential(self, credential: str) -> str | None:
        """Return the name of the team that owns a credential, None if it is unknown."""
        digest = hashlib.sha256(credential.encode()).hexdigest()
        stored, team = self.teams_by_digest.get(digest, ("", ""))
        # The lookup is by digest, which callers cannot choose, so its timing gives them no way to
        # probe for stored credentials.
        return team if hmac.compare_digest(digest, stored) else None

    def find_route(self, method: str, path: str) -> "Route | None":
        """Return the route for a method and a path without query string, None if there is none.

        An exact path takes precedence over wildcards, and longer wildcard prefixes over shorter.
        """
        route = self.exact_routes.get((method, path))
        prefix = path
        while route is None and "/" in prefix:
            prefix = prefix.rpartition("/")[0]
            route = self.wildcard_routes.get((method, prefix))
        return route


class Route:
    """A service, one of its operations, and the digest by which agents verify both."""

    __slots__ = ("call_digest", "operation", "service")

    def __init__(
        self, service: configuration_models.Service, operation: configuration_models.Operation
    ) -> None:
        self.service = service
        self.operation = operation
        self.call_digest = configuration_models.call_digest(service, operation)
