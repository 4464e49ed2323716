"""Publishes configurations while a fleet is under load."""

import asyncio
import collections
import itertools

import msgspec

from masticward.bench import fleet
from masticward.models import configuration as configuration_models

CHANGE_PERIOD_SECONDS = 0.5
REFUSALS_METRIC = "masticward_entry_attempt_refusals"
SHARE_FACTORS = (1.5, 1.0)


class ShareChanges:
    """Changes the share of one team again and again; ``published`` counts accepted versions.

    ``refusals`` holds the attempts that agents refused by the end of the run, by reason.
    """

    __slots__ = ("changes", "published", "refusals")

    def __init__(self, changes: int) -> None:
        self.changes = changes
        self.published = 0
        self.refusals: collections.Counter[str] = collections.Counter()

    async def run(self, local: fleet.LocalFleet) -> None:
        """Publish one change each period, then read the refusals. Raises PublishingError."""
        factors = itertools.islice(itertools.cycle(SHARE_FACTORS), self.changes)
        for factor in factors:
            await local.platform.publish(with_share(local.plan.configuration, factor))
            self.published += 1
            await asyncio.sleep(CHANGE_PERIOD_SECONDS)
        self.refusals = refusals_of(local)


def with_share(
    configuration: configuration_models.Configuration, factor: float
) -> configuration_models.Configuration:
    """Return the configuration with the last team's share multiplied by ``factor``."""
    *others, last = configuration.teams
    changed = msgspec.structs.replace(last, share=last.share * factor)
    return msgspec.structs.replace(configuration, teams=(*others, changed))


def refusals_of(local: fleet.LocalFleet) -> collections.Counter[str]:
    """Return the refused attempts of all entries by reason."""
    counts: collections.Counter[str] = collections.Counter()
    for daemon in local.entries.values():
        for metric in daemon.metrics.registry.collect():
            if metric.name != REFUSALS_METRIC:
                continue
            for sample in metric.samples:
                if sample.name.endswith("_total"):
                    counts[sample.labels["reason"]] += int(sample.value)
    return counts
