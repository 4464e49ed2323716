"""Plans of the deployments whose files lie in ``bench/deployments``."""

import pathlib

from returns import result

from masticward.bench import plans
from masticward.publishing import check, collect

DIRECTORY = pathlib.Path(__file__).parent / "deployments"
# The teams of the two deployments have credentials for demonstration only.
CREDENTIAL_PREFIX = "demo-"
NAMES = ("mauritius", "bavaria")


def load(name: str, entries: int) -> plans.FleetPlan:
    """Return the plan of a deployment; raises ConfigurationError with every problem."""
    checked = check.check(collect.collect([DIRECTORY / name]))
    if isinstance(checked, result.Failure):
        raise checked.failure()
    configuration = checked.unwrap()
    credentials = {team.name: CREDENTIAL_PREFIX + team.name for team in configuration.teams}
    return plans.spread(configuration, credentials, entries)
